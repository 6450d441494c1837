package org.magnoliapick.quarantine;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * When requests were last answered by prompt part and fingerprint. The oldest are forgotten; each
 * kind is bounded for itself, since there are far more fingerprints than parts.
 */
final class AnswerTimes {
    /** The maximum number of keys of one kind. */
    private static final int MAX_KEYS = 1_024;

    private final Map<SuspectKey.Kind, Map<SuspectKey, Long>> mMillis =
            new EnumMap<>(SuspectKey.Kind.class);

    void record(SuspectKey key, long nowMillis) {
        mMillis.computeIfAbsent(key.kind(), kind -> new Recent()).put(key, nowMillis);
    }

    /** Returns when a request that has the key was last answered; empty if that is not known. */
    OptionalLong last(SuspectKey key) {
        Long millis = mMillis.getOrDefault(key.kind(), Map.of()).get(key);
        return millis == null ? OptionalLong.empty() : OptionalLong.of(millis);
    }

    private static final class Recent extends LinkedHashMap<SuspectKey, Long> {
        private static final long serialVersionUID = 1L;

        private Recent() {
            super(16, 0.75f, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<SuspectKey, Long> eldest) {
            return size() > MAX_KEYS;
        }
    }
}
