package org.magnoliapick.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes and compares hashes of bearer keys in the form stored in the settings. */
public final class KeyHash {
    private KeyHash() {}

    /** Returns the lower-case hexadecimal SHA-256 hash of a key's UTF-8 bytes. */
    public static String of(String key) {
        return ofBytes(key.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Compares two hashes in constant time, so that the duration does not reveal where they differ.
     */
    public static boolean matches(String left, String right) {
        return MessageDigest.isEqual(
                left.getBytes(StandardCharsets.UTF_8), right.getBytes(StandardCharsets.UTF_8));
    }

    static String ofBytes(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available in this Java runtime", e);
        }
    }
}
