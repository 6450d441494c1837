package org.magnoliapick.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * An accepted configuration change.
 *
 * @param offset the log offset of the entry
 * @param appendedAtMillis when the entry was appended, in milliseconds since the epoch
 * @param id the entry's identifier
 * @param author who made the change
 * @param reason the author's reason for the change; may be empty
 * @param set the values set by the entry, by path
 * @param unset the paths removed by the entry, each with its subtree
 */
public record HistoryEntry(
        long offset,
        long appendedAtMillis,
        String id,
        String author,
        String reason,
        Map<String, JsonNode> set,
        List<String> unset) {
    public HistoryEntry {
        set = Collections.unmodifiableMap(new TreeMap<>(set));
        unset = List.copyOf(unset);
    }

    /**
     * Returns whether the change affects a path or its subtree, also by removing a subtree that
     * contains the path.
     */
    public boolean concerns(String path) {
        return set.keySet().stream().anyMatch(changed -> isWithin(changed, path))
                || unset.stream()
                        .anyMatch(removed -> isWithin(removed, path) || isWithin(path, removed));
    }

    private static boolean isWithin(String path, String subtree) {
        return subtree.isEmpty() || path.equals(subtree) || path.startsWith(subtree + "/");
    }
}
