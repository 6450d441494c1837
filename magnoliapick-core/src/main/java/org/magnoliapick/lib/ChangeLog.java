package org.magnoliapick.lib;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The keys of entries in the order of their last changes, which are numbered, so that another
 * instance can be sent the changes after the last one that it received.
 *
 * @param <K> the type of the keys
 */
public final class ChangeLog<K> {
    /** The maximum number of changes that are sent at once. */
    private static final int MAX_CHANGES = 32;

    private final LinkedHashMap<K, Long> mVersions = new LinkedHashMap<>();
    private long mVersion;

    /** Records that an entry was added or changed. */
    public void changed(K key) {
        mVersions.remove(key);
        mVersions.put(key, ++mVersion);
    }

    /** Records that an entry was removed, which other instances are not told. */
    public void removed(K key) {
        mVersions.remove(key);
    }

    /**
     * Returns the first changes after a version; empty if there is none.
     *
     * @param knownVersion the version up to which the other instance received changes
     */
    public Optional<Changes<K>> since(long knownVersion) {
        // A version above the own one is of an earlier incarnation of this instance.
        long known = knownVersion > mVersion ? 0 : knownVersion;
        if (known == mVersion) {
            return Optional.empty();
        }
        List<K> keys = new ArrayList<>();
        for (Map.Entry<K, Long> each : mVersions.entrySet()) {
            if (keys.size() == MAX_CHANGES) {
                return Optional.of(new Changes<>(mVersions.get(keys.get(MAX_CHANGES - 1)), keys));
            }
            if (each.getValue() > known) {
                keys.add(each.getKey());
            }
        }
        return Optional.of(new Changes<>(mVersion, keys));
    }

    /**
     * Changes to be sent to another instance.
     *
     * @param version the version that it knows afterwards
     * @param keys the keys of the changed entries
     */
    public record Changes<K>(long version, List<K> keys) {
        /** Copies the list. */
        public Changes {
            keys = List.copyOf(keys);
        }
    }
}
