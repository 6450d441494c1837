package org.magnoliapick.claim;

import java.util.Objects;
import org.magnoliapick.lib.WorkspaceId;

/**
 * An idempotency key; each workspace has keys of its own.
 *
 * @param workspace the workspace
 * @param key the key as the caller wrote it
 */
public record ClaimKey(WorkspaceId workspace, String key) {
    /** The longest key, in characters. */
    public static final int MAX_LENGTH_CHARS = 200;

    /**
     * Checks the key.
     *
     * @throws IllegalArgumentException if the key is blank or too long
     */
    public ClaimKey {
        Objects.requireNonNull(workspace, "workspace");
        if (key == null || key.isBlank() || key.length() > MAX_LENGTH_CHARS) {
            throw new IllegalArgumentException(
                    "An idempotency key has 1 to " + MAX_LENGTH_CHARS + " characters");
        }
    }
}
