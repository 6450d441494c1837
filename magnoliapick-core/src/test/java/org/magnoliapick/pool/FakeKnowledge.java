package org.magnoliapick.pool;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.limit.RateLimit;
import org.magnoliapick.limit.RateLimits;
import org.magnoliapick.limit.UpstreamPauses;
import org.magnoliapick.quarantine.PromptQuarantine;
import org.magnoliapick.quarantine.SuspectKey;
import org.magnoliapick.relay.RelayRequest;
import org.magnoliapick.route.ServiceSpec;

/** What an instance of a fleet in virtual time learns from others, and up to which version. */
final class FakeKnowledge {
    private final PromptQuarantine mQuarantine = new PromptQuarantine();
    private final RateLimits mRateLimits = new RateLimits();
    private final UpstreamPauses mPauses = new UpstreamPauses();
    private final long mStartedMillis;
    private final Map<FakeKnowledge, Long> mReceivedPauses = new HashMap<>();
    private final LeavingUpstreams mLeaving = new LeavingUpstreams();
    private final Map<FakeKnowledge, Long> mReceivedLeaving = new HashMap<>();
    private final Map<FakeKnowledge, Long> mReceivedSuspects = new HashMap<>();
    private final Map<FakeKnowledge, Long> mReceivedLimits = new HashMap<>();
    private final Map<FakeKnowledge, Long> mReceivedCold = new HashMap<>();

    FakeKnowledge(long startedMillis) {
        mStartedMillis = startedMillis;
    }

    void configure(ServiceSpec service) {
        service.cold()
                .ifPresent(
                        cold ->
                                mRateLimits
                                        .cold()
                                        .configure(Map.of(service.name(), cold.coldMillis())));
    }

    /** Reads the entries of engines, none of which states whether it is cold. */
    void readList(List<FakeEngine> engines, boolean firstReading, long nowMillis) {
        engines.forEach(each -> readEntry(each, OptionalLong.empty(), firstReading, nowMillis));
    }

    /** Reads the entries of engines that state to be cold. */
    void readColdStates(List<FakeEngine> engines, long leftMillis, long nowMillis) {
        engines.forEach(each -> readEntry(each, OptionalLong.of(leftMillis), false, nowMillis));
    }

    private void readEntry(
            FakeEngine engine, OptionalLong leftMillis, boolean firstReading, long nowMillis) {
        ListedUpstream upstream = engine.upstream();
        mRateLimits
                .cold()
                .recordListed(
                        upstream.incarnation(),
                        upstream.service(),
                        leftMillis,
                        nowMillis,
                        firstReading,
                        nowMillis);
    }

    UpstreamPauses pauses() {
        return mPauses;
    }

    void recordRefusal(FakeEngine engine, RelayRequest request, long pauseMillis, long nowMillis) {
        mPauses.record(engine.upstream().incarnation(), request.id(), pauseMillis, nowMillis);
    }

    /** Sends the own pauses that a dispatcher lacks. */
    void sendPausesTo(FakeKnowledge to, InstanceId name, long nowMillis) {
        mPauses.tick(nowMillis);
        to.mPauses.reportReceived(name, mStartedMillis);
        mPauses.updateFor(to.mReceivedPauses.getOrDefault(this, 0L))
                .ifPresent(
                        update -> {
                            to.mPauses.applyUpdate(name, mStartedMillis, update, nowMillis);
                            to.mReceivedPauses.put(this, update.version());
                        });
    }

    PromptQuarantine quarantine() {
        return mQuarantine;
    }

    RateLimits rateLimits() {
        return mRateLimits;
    }

    LeavingUpstreams leaving() {
        return mLeaving;
    }

    /**
     * Records the answer of an engine to a request; returns whether the engine stated something
     * that was unknown.
     */
    boolean recordAnswer(FakeEngine engine, RelayRequest request, long sentMillis, long nowMillis) {
        ListedUpstream upstream = engine.upstream();
        mRateLimits.record(
                new RateLimit(
                        upstream.id(), upstream.startedMillis(), engine.rateLimit(), nowMillis),
                request.id(),
                sentMillis);
        mRateLimits
                .cold()
                .recordResponse(
                        upstream.incarnation(),
                        upstream.service(),
                        engine.coldLeftMillis(nowMillis),
                        request.id(),
                        sentMillis,
                        nowMillis);
        mQuarantine.recordAnswer(request.content(), nowMillis);
        return engine.isLeaving() && mLeaving.record(upstream, request.id(), nowMillis);
    }

    void recordCrash(
            RelayRequest request, ListedUpstream upstream, long crashedMillis, long nowMillis) {
        mQuarantine.recordCrash(
                request.content(),
                upstream.id(),
                upstream.startedMillis(),
                crashedMillis,
                nowMillis);
    }

    boolean isQuarantined(RelayRequest request, long nowMillis) {
        return mQuarantine.find(request.content(), nowMillis).isPresent();
    }

    boolean mayRetry(RelayRequest request) {
        return mQuarantine.mayRetry(request.content());
    }

    /** Returns the number of parts and fingerprints that are quarantined. */
    long quarantinedCount(long nowMillis) {
        return Stream.of(SuspectKey.Kind.values())
                .mapToLong(kind -> mQuarantine.quarantinedCount(kind, nowMillis))
                .sum();
    }

    /** Sends what another instance lacks. */
    void sendTo(FakeKnowledge to, String name, long nowMillis) {
        mLeaving.updateFor(to.mReceivedLeaving.getOrDefault(this, 0L))
                .ifPresent(
                        update -> {
                            to.mLeaving.applyUpdate(update, name, nowMillis);
                            to.mReceivedLeaving.put(this, update.version());
                        });
        mQuarantine
                .updateFor(to.mReceivedSuspects.getOrDefault(this, 0L))
                .ifPresent(
                        update -> {
                            to.mQuarantine.applyUpdate(update, nowMillis);
                            to.mReceivedSuspects.put(this, update.version());
                        });
        mRateLimits
                .cold()
                .updateFor(to.mReceivedCold.getOrDefault(this, 0L))
                .ifPresent(
                        update -> {
                            to.mRateLimits.cold().applyUpdate(update, name, nowMillis);
                            to.mReceivedCold.put(this, update.version());
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
