package org.magnoliapick.lib;

/**
 * The identifier of one attempt to run a request at an upstream.
 *
 * @param value the identifier as written in settings and on the wire, never blank
 */
public record AttemptId(String value) implements Comparable<AttemptId> {
    /**
     * Validates the identifier.
     *
     * @throws IllegalArgumentException if the value is blank or longer than {@link
     *     Identifiers#MAX_LENGTH_CHARS}
     */
    public AttemptId {
        Identifiers.check(value);
    }

    @Override
    public int compareTo(AttemptId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
