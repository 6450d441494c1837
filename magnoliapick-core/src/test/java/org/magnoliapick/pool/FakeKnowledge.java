package org.magnoliapick.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;
import org.magnoliapick.limit.RateLimits;
import org.magnoliapick.quarantine.PromptQuarantine;
import org.magnoliapick.quarantine.SuspectKey;

/** What an instance of a fleet in virtual time learns from others, and up to which version. */
final class FakeKnowledge {
    private final PromptQuarantine mQuarantine = new PromptQuarantine();
    private final RateLimits mRateLimits = new RateLimits();
    private final Map<FakeKnowledge, Long> mReceivedSuspects = new HashMap<>();
    private final Map<FakeKnowledge, Long> mReceivedLimits = new HashMap<>();

    PromptQuarantine quarantine() {
        return mQuarantine;
    }

    RateLimits rateLimits() {
        return mRateLimits;
    }

    /** Returns the number of parts and fingerprints that are quarantined. */
    long quarantinedCount(long nowMillis) {
        return Stream.of(SuspectKey.Kind.values())
                .mapToLong(kind -> mQuarantine.quarantinedCount(kind, nowMillis))
                .sum();
    }

    /** Sends what another instance lacks. */
    void sendTo(FakeKnowledge to, String name, long nowMillis) {
        mQuarantine
                .updateFor(to.mReceivedSuspects.getOrDefault(this, 0L))
                .ifPresent(
                        update -> {
                            to.mQuarantine.applyUpdate(update, nowMillis);
                            to.mReceivedSuspects.put(this, update.version());
                        });
        mRateLimits
                .updateFor(to.mReceivedLimits.getOrDefault(this, 0L))
                .ifPresent(
                        update -> {
                            to.mRateLimits.applyUpdate(update, name);
                            to.mReceivedLimits.put(this, update.version());
                        });
    }
}
