package org.magnoliapick.pool;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.magnoliapick.relay.PromptPart;

/**
 * Which parts of prompts an engine is believed to keep: those last sent to it, least recent out.
 */
final class PrefixCacheEstimate {
    /** The share of an engine's memory that its cache is believed to have beside running work. */
    private static final double CACHE_SHARE = 0.5;

    private final Map<String, Integer> mTokensByPart = new LinkedHashMap<>(64, 0.75f, true);
    private final long mCapacityTokens;
    private long mTokens;

    PrefixCacheEstimate(long memoryTokens) {
        mCapacityTokens = (long) (memoryTokens * CACHE_SHARE);
    }

    /** Returns how many leading tokens of a prompt need not be read again. */
    long keptTokens(List<PromptPart> parts) {
        long kept = 0;
        for (PromptPart part : parts) {
            if (mTokensByPart.get(part.id()) == null) {
                break;
            }
            kept += part.tokens();
        }
        return kept;
    }

    /** Notes that a prompt was sent to the engine. */
    void sent(List<PromptPart> parts) {
        for (PromptPart part : parts) {
            Integer before = mTokensByPart.put(part.id(), part.tokens());
            mTokens += part.tokens() - (before == null ? 0 : before);
        }
        Iterator<Integer> oldest = mTokensByPart.values().iterator();
        while (mTokens > mCapacityTokens && oldest.hasNext()) {
            mTokens -= oldest.next();
            oldest.remove();
        }
    }

    /** Forgets all, as after a restart of the engine. */
    void clear() {
        mTokensByPart.clear();
        mTokens = 0;
    }
}
