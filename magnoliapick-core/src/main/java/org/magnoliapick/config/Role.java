package org.magnoliapick.config;

import java.util.Locale;
import java.util.Optional;

/** What an operator may do in a subtree. Each role includes the ones before it. */
public enum Role {
    /** Read settings, history, explanations and reports. */
    READ,
    /** Change weights, limits, objectives and targets. */
    CHANGE,
    /** Issue and revoke keys of workspaces and operators. */
    ADMINISTER;

    /** Returns whether this role includes another. */
    public boolean includes(Role other) {
        return ordinal() >= other.ordinal();
    }

    /** Returns the name used in settings. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Finds the role of a name used in settings. */
    public static Optional<Role> ofWireName(String name) {
        for (Role role : values()) {
            if (role.wireName().equals(name)) {
                return Optional.of(role);
            }
        }
        return Optional.empty();
    }
}
