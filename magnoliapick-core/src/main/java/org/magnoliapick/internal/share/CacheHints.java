package org.magnoliapick.internal.share;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliapick.share.QueuedRequest;

/**
 * The prefix blocks and adapters that one upstream probably has cached. Cache events arrive late
 * and with gaps, so the content is only a hint. The oldest entries are evicted first.
 */
final class CacheHints {
    private static final int MAX_BLOCKS = 1_024;
    private static final int MAX_ADAPTERS = 32;

    private final Map<Long, Boolean> mBlocks = bounded(MAX_BLOCKS);
    private final Map<String, Boolean> mAdapters = bounded(MAX_ADAPTERS);

    /** Applies a cache event of the upstream. */
    void update(List<Long> stored, List<Long> evicted) {
        stored.forEach(block -> mBlocks.put(block, true));
        evicted.forEach(mBlocks::remove);
    }

    /** Adds the prefix and the adapter of a request that was sent to the upstream. */
    void addRequest(QueuedRequest request) {
        request.prefixHashes().forEach(block -> mBlocks.put(block, true));
        request.adapter().ifPresent(adapter -> mAdapters.put(adapter, true));
    }

    /**
     * Returns the cache affinity of a request: the cached part of its prefix, from 0 to 1, plus 1
     * if its adapter is loaded.
     */
    double affinity(QueuedRequest request) {
        Optional<String> adapter = request.adapter();
        boolean loaded = adapter.isPresent() && mAdapters.containsKey(adapter.get());
        return (loaded ? 1 : 0) + prefixAffinity(request.prefixHashes());
    }

    private double prefixAffinity(List<Long> hashes) {
        for (int length = hashes.size(); length > 0; length--) {
            if (mBlocks.containsKey(hashes.get(length - 1))) {
                return (double) length / hashes.size();
            }
        }
        return 0;
    }

    private static <K> Map<K, Boolean> bounded(int size) {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<K, Boolean> eldest) {
                return size() > size;
            }
        };
    }
}
