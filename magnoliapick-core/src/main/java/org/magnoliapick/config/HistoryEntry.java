package org.magnoliapick.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * An accepted change.
 *
 * @param offset the log offset at which it came into force
 * @param appendedAtMillis when the log took it, in milliseconds since the epoch
 * @param id its identifier
 * @param author who made it
 * @param reason why, in the author's words
 * @param set the values that it set, by path
 * @param unset the paths that it removed
 */
public record HistoryEntry(
        long offset,
        long appendedAtMillis,
        String id,
        String author,
        String reason,
        Map<String, JsonNode> set,
        List<String> unset) {
    /** Copies the changes. */
    public HistoryEntry {
        set = Collections.unmodifiableMap(new TreeMap<>(set));
        unset = List.copyOf(unset);
    }

    /** Returns whether the change concerns a path or anything below it. */
    public boolean concerns(String path) {
        return set.keySet().stream().anyMatch(changed -> isWithin(changed, path))
                || unset.stream().anyMatch(gone -> isWithin(gone, path) || isWithin(path, gone));
    }

    private static boolean isWithin(String path, String subtree) {
        return subtree.isEmpty() || path.equals(subtree) || path.startsWith(subtree + "/");
    }
}
