package org.magnoliapick.claim;

import java.util.Objects;
import org.magnoliapick.lib.WorkspaceId;

/**
 * An idempotency key, scoped to a workspace.
 *
 * @param workspace the workspace
 * @param key the key as sent by the caller
 */
public record ClaimKey(WorkspaceId workspace, String key) {
    /** The maximum length of a key, in characters. */
    public static final int MAX_LENGTH_CHARS = 200;

    /**
     * Validates the key.
     *
     * @throws IllegalArgumentException if the key is blank or too long
     */
    public ClaimKey {
        Objects.requireNonNull(workspace, "workspace");
        if (key == null || key.isBlank() || key.length() > MAX_LENGTH_CHARS) {
            throw new IllegalArgumentException(
                    "An idempotency key must not be blank or longer than "
                            + MAX_LENGTH_CHARS
                            + " characters");
        }
    }
}
