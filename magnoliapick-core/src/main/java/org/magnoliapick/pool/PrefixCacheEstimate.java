package org.magnoliapick.pool;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.magnoliapick.relay.PromptPart;

/**
 * Estimates which parts of prompts an engine's prefix cache holds: those of the prompts that were
 * sent to it most recently, with least recently used parts evicted first.
 */
final class PrefixCacheEstimate {
    /** Fraction of an engine's memory that its cache is assumed to hold beside running requests. */
    private static final double CACHE_MEMORY_FRACTION = 0.5;

    private final Map<String, Integer> mTokensByPart = new LinkedHashMap<>(64, 0.75f, true);
    private final long mCapacityTokens;
    private long mTokens;

    PrefixCacheEstimate(long memoryTokens) {
        mCapacityTokens = (long) (memoryTokens * CACHE_MEMORY_FRACTION);
    }

    /**
     * Returns how many leading tokens of a prompt are estimated to be cached and need no prefill.
     */
    long cachedTokens(List<PromptPart> parts) {
        long cached = 0;
        for (PromptPart part : parts) {
            if (mTokensByPart.get(part.id()) == null) {
                break;
            }
            cached += part.tokens();
        }
        return cached;
    }

    /** Adds the parts of a prompt that was sent to the engine. */
    void add(List<PromptPart> parts) {
        for (PromptPart part : parts) {
            Integer previous = mTokensByPart.put(part.id(), part.tokens());
            mTokens += part.tokens() - (previous == null ? 0 : previous);
        }
        Iterator<Integer> leastRecent = mTokensByPart.values().iterator();
        while (mTokens > mCapacityTokens && leastRecent.hasNext()) {
            mTokens -= leastRecent.next();
            leastRecent.remove();
        }
    }
}
