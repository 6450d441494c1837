package org.magnoliapick.lib;

/** The rule that every identifier obeys. */
public final class Identifiers {
    /** The longest identifier, in characters. */
    public static final int MAX_LENGTH_CHARS = 200;

    private Identifiers() {}

    static void check(String value) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException("An identifier must not be blank");
        }
        if (value.length() > MAX_LENGTH_CHARS) {
            throw new IllegalArgumentException(
                    "An identifier has at most " + MAX_LENGTH_CHARS + " characters");
        }
    }
}
