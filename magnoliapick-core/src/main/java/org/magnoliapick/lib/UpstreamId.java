package org.magnoliapick.lib;

/**
 * The identifier of an upstream: a model engine or a plain service.
 *
 * @param value the identifier as written in settings and on the wire, never blank
 */
public record UpstreamId(String value) implements Comparable<UpstreamId> {
    /**
     * Validates the identifier.
     *
     * @throws IllegalArgumentException if the value is blank or longer than {@link
     *     Identifiers#MAX_LENGTH_CHARS}
     */
    public UpstreamId {
        Identifiers.check(value);
    }

    @Override
    public int compareTo(UpstreamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
