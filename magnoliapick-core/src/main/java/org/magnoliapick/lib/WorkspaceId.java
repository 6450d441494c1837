package org.magnoliapick.lib;

/**
 * The identifier of a workspace, unique across all teams.
 *
 * @param value the identifier as written in settings and on the wire, never blank
 */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {
    /**
     * Validates the identifier.
     *
     * @throws IllegalArgumentException if the value is blank or longer than {@link
     *     Identifiers#MAX_LENGTH_CHARS}
     */
    public WorkspaceId {
        Identifiers.check(value);
    }

    @Override
    public int compareTo(WorkspaceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
