package org.magnoliapick.config;

import java.util.List;
import java.util.Optional;

/**
 * What the engines of a model have to load and be.
 *
 * @param target the model
 * @param version the version to load, if one is set
 * @param adapters the adapters to load
 * @param role the role to take, if one is set
 * @param changedAtOffset the log offset that last changed the order
 */
public record OrderConfig(
        String target,
        Optional<String> version,
        List<String> adapters,
        Optional<String> role,
        long changedAtOffset) {
    /** Copies the adapters. */
    public OrderConfig {
        adapters = List.copyOf(adapters);
    }
}
