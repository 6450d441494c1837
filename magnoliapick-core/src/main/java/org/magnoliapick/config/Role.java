package org.magnoliapick.config;

import java.util.Locale;
import java.util.Optional;

/**
 * The permissions of an operator in a subtree of the settings. Each role includes the roles
 * declared before it.
 */
public enum Role {
    /** Read settings, history, explanations and reports. */
    READ,
    /** Change weights, limits, objectives and targets. */
    CHANGE,
    /** Issue and revoke keys of workspaces and operators. */
    ADMINISTER;

    /** Returns whether this role has all permissions of another. */
    public boolean includes(Role other) {
        return ordinal() >= other.ordinal();
    }

    /** Returns the name used in settings. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the role with a name used in settings; empty if there is none. */
    public static Optional<Role> ofWireName(String name) {
        for (Role role : values()) {
            if (role.wireName().equals(name)) {
                return Optional.of(role);
            }
        }
        return Optional.empty();
    }
}
