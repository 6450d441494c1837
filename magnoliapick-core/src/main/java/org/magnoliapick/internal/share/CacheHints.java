package org.magnoliapick.internal.share;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliapick.share.QueuedRequest;

/**
 * What one upstream probably holds: prefix blocks and adapters. Events come late and with gaps, so
 * these are hints; the oldest are forgotten first.
 */
final class CacheHints {
    private static final int MAX_BLOCKS = 1_024;
    private static final int MAX_ADAPTERS = 32;

    private final Map<Long, Boolean> mBlocks = bounded(MAX_BLOCKS);
    private final Map<String, Boolean> mAdapters = bounded(MAX_ADAPTERS);

    /** Takes cache events. */
    void update(List<Long> stored, List<Long> evicted) {
        stored.forEach(block -> mBlocks.put(block, true));
        evicted.forEach(mBlocks::remove);
    }

    /** Notes that a request was sent, so its prefix and adapter will be there. */
    void addRequest(QueuedRequest request) {
        request.prefixHashes().forEach(block -> mBlocks.put(block, true));
        request.adapter().ifPresent(adapter -> mAdapters.put(adapter, true));
    }

    /** Returns how well a request fits, from 0 to 1 for its prefix plus 1 for its adapter. */
    double affinity(QueuedRequest request) {
        Optional<String> adapter = request.adapter();
        boolean loaded = adapter.isPresent() && mAdapters.containsKey(adapter.get());
        return (loaded ? 1 : 0) + prefixFit(request.prefixHashes());
    }

    private double prefixFit(List<Long> hashes) {
        for (int known = hashes.size(); known > 0; known--) {
            if (mBlocks.containsKey(hashes.get(known - 1))) {
                return (double) known / hashes.size();
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
