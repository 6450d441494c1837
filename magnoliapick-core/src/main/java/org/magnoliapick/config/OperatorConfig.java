package org.magnoliapick.config;

import java.util.Optional;

/**
 * A person or program that may use the administration API.
 *
 * @param name its name
 * @param team the team whose subtree it may use; empty for the whole fleet
 * @param keyHash the lower-case hexadecimal SHA-256 hash of its key
 * @param role what it may do
 */
public record OperatorConfig(String name, Optional<String> team, String keyHash, Role role) {
    /** Returns whether the operator may do something that needs a role at a path. */
    public boolean allows(Role needed, String path) {
        boolean isInSubtree = team.isEmpty() || isWithin(path, "teams/" + team.get());
        return isInSubtree && role.includes(needed);
    }

    private static boolean isWithin(String path, String subtree) {
        return path.equals(subtree) || path.startsWith(subtree + "/");
    }
}
