package org.magnoliapick.lib;

/** Validates identifiers. */
public final class Identifiers {
    /** The maximum length of an identifier, in characters. */
    public static final int MAX_LENGTH_CHARS = 200;

    private Identifiers() {}

    static void check(String value) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException("An identifier must not be blank");
        }
        if (value.length() > MAX_LENGTH_CHARS) {
            throw new IllegalArgumentException(
                    "An identifier must have at most " + MAX_LENGTH_CHARS + " characters");
        }
    }
}
