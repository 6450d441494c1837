package org.magnoliapick.lib;

/**
 * The identifier of a failure domain.
 *
 * @param value the identifier as written in settings and on the wire, never blank
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {
    /**
     * Validates the identifier.
     *
     * @throws IllegalArgumentException if the value is blank or longer than {@link
     *     Identifiers#MAX_LENGTH_CHARS}
     */
    public FailureDomain {
        Identifiers.check(value);
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
