package org.magnoliapick.quarantine;

import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * When requests were last answered by prompt part and fingerprint. Of many the old ones are
 * forgotten; each kind is bounded for itself, since there are far more fingerprints than parts.
 */
final class AnswerTimes {
    /** The maximum number of keys of one kind, whatever their age. */
    private static final int MAX_KEYS = 16_384;

    /** The maximum number of keys of one kind that are older than the age below. */
    private static final int MAX_OLD_KEYS = 1_024;

    /**
     * How long answers are needed to refute a crash, in milliseconds: some time before it, and
     * until other instances have reported it.
     */
    private static final long NEEDED_MILLIS = 5_000;

    private final Map<SuspectKey.Kind, Map<SuspectKey, Long>> mMillis =
            new EnumMap<>(SuspectKey.Kind.class);

    void record(SuspectKey key, long nowMillis) {
        Map<SuspectKey, Long> ofKind =
                mMillis.computeIfAbsent(key.kind(), kind -> new LinkedHashMap<>());
        // A key that is only replaced would keep its place in the order.
        ofKind.remove(key);
        ofKind.put(key, nowMillis);
        Iterator<Long> oldest = ofKind.values().iterator();
        while (ofKind.size() > MAX_OLD_KEYS
                && (oldest.next() <= nowMillis - NEEDED_MILLIS || ofKind.size() > MAX_KEYS)) {
            oldest.remove();
        }
    }

    /** Returns when a request that has the key was last answered; empty if that is not known. */
    OptionalLong last(SuspectKey key) {
        Long millis = mMillis.getOrDefault(key.kind(), Map.of()).get(key);
        return millis == null ? OptionalLong.empty() : OptionalLong.of(millis);
    }
}
