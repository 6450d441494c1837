package org.magnoliapick.config;

import java.util.List;
import java.util.Optional;

/**
 * The desired state of the engines of a model.
 *
 * @param target the model's name
 * @param version the version to load, if one is set
 * @param adapters the adapters to load
 * @param role the role that the engines are to take, if one is set
 * @param changedAtOffset the highest log offset that set one of the order's current settings; -1 if
 *     it has none
 */
public record OrderConfig(
        String target,
        Optional<String> version,
        List<String> adapters,
        Optional<String> role,
        long changedAtOffset) {
    public OrderConfig {
        adapters = List.copyOf(adapters);
    }
}
