package org.magnoliapick.rpc;

import java.nio.charset.StandardCharsets;
import java.util.Objects;

/**
 * A key shared by all entry instances, with the name that tells it from its successor.
 *
 * @param id the name of the key
 * @param secret the secret, at least {@link #MIN_SECRET_CHARS} characters
 */
public record PeerKey(String id, String secret) {
    /** The shortest secret, in characters. */
    public static final int MIN_SECRET_CHARS = 16;

    /**
     * Checks the key.
     *
     * @throws IllegalArgumentException if the secret is too short
     */
    public PeerKey {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(secret, "secret");
        if (secret.length() < MIN_SECRET_CHARS) {
            throw new IllegalArgumentException(
                    "A peer key's secret has at least " + MIN_SECRET_CHARS + " characters");
        }
    }

    byte[] secretBytes() {
        return secret.getBytes(StandardCharsets.UTF_8);
    }

    /** Names the key and hides the secret. */
    @Override
    public String toString() {
        return "PeerKey[" + id + "]";
    }
}
