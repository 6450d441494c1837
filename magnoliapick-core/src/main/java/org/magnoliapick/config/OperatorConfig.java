package org.magnoliapick.config;

import java.util.Optional;

/**
 * A person or program that may use the administration API.
 *
 * @param name the operator's name
 * @param team the team whose subtree the operator has access to; empty for the whole fleet
 * @param keyHash the lower-case hexadecimal SHA-256 hash of the operator's key
 * @param role the operations that the operator may perform
 */
public record OperatorConfig(String name, Optional<String> team, String keyHash, Role role) {
    /** Returns whether the operator may perform an operation at a path that requires a role. */
    public boolean allows(Role required, String path) {
        boolean isInSubtree = team.isEmpty() || isWithin(path, "teams/" + team.get());
        return isInSubtree && role.includes(required);
    }

    private static boolean isWithin(String path, String subtree) {
        return path.equals(subtree) || path.startsWith(subtree + "/");
    }
}
