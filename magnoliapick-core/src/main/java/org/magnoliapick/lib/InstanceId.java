package org.magnoliapick.lib;

/**
 * The identifier of an entry instance.
 *
 * @param value the identifier as written in settings and on the wire, never blank
 */
public record InstanceId(String value) implements Comparable<InstanceId> {
    /**
     * Validates the identifier.
     *
     * @throws IllegalArgumentException if the value is blank or longer than {@link
     *     Identifiers#MAX_LENGTH_CHARS}
     */
    public InstanceId {
        Identifiers.check(value);
    }

    @Override
    public int compareTo(InstanceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
