package org.magnoliapick.lib;

/**
 * The identifier of one request of a caller, unique across the fleet.
 *
 * @param value the identifier as written in settings and on the wire, never blank
 */
public record RequestId(String value) implements Comparable<RequestId> {
    /**
     * Validates the identifier.
     *
     * @throws IllegalArgumentException if the value is blank or longer than {@link
     *     Identifiers#MAX_LENGTH_CHARS}
     */
    public RequestId {
        Identifiers.check(value);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
