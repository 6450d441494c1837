package org.magnoliapick.pool;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.relay.Prompt;
import org.magnoliapick.relay.PromptPart;
import org.magnoliapick.route.EngineSpec;

/**
 * The load of one upstream as known to this instance: its own use and the reported use of the other
 * instances.
 */
final class UpstreamLoad {
    /** Time for which another instance's reported use counts, in milliseconds. */
    private static final long PEER_USE_TIMEOUT_MILLIS = 1_500;

    /**
     * Time for which a grant to another instance counts while that instance's reports do not
     * acknowledge it, in milliseconds.
     */
    private static final long GRANT_TIMEOUT_MILLIS = 1_000;

    /** Prefill speed assumed for an engine until it is measured, in tokens per millisecond. */
    private static final double INITIAL_TOKENS_PER_MILLI = 60;

    /** Lower bound of a measured prefill speed, in tokens per millisecond. */
    private static final double MIN_TOKENS_PER_MILLI = 5;

    /** Upper bound of a measured prefill speed, in tokens per millisecond. */
    private static final double MAX_TOKENS_PER_MILLI = 120;

    /**
     * Number of prompt tokens below which the time to the first event says little about the prefill
     * speed.
     */
    private static final long MIN_MEASURED_TOKENS = 3_000;

    /**
     * Part of the time to the first event that is not prefill, in milliseconds: network and one
     * engine step.
     */
    private static final long FIRST_EVENT_BASE_MILLIS = 12;

    /** Weight of one measurement in the moving average of the prefill speed. */
    private static final double SPEED_WEIGHT = 0.15;

    /**
     * Fraction of a prompt's shared tokens that its preferred upstream is assumed to have cached
     * even if this instance did not send them there.
     */
    private static final double PREFERRED_CACHED_FRACTION = 0.8;

    /** Fraction of its slots in use below which an upstream counts as idle. */
    private static final double IDLE_SLOTS_FRACTION = 0.5;

    private final UpstreamHealth mHealth = new UpstreamHealth();
    private final Map<InstanceId, PeerUse> mPeers = new HashMap<>();
    private final Optional<PrefixCacheEstimate> mCache;
    private final List<PendingGrant> mPendingGrants = new ArrayList<>();
    private ListedUpstream mUpstream;

    /** The attempts that are counted; those from before the upstream was listed are not. */
    private final Set<Ticket> mRunning = Collections.newSetFromMap(new IdentityHashMap<>());

    private long mPrefillTokens;
    private long mMemoryTokens;
    private double mTokensPerMilli = INITIAL_TOKENS_PER_MILLI;
    private boolean mSpeedMeasured;
    private Optional<Totals> mTotals = Optional.empty();

    private final UpstreamRate mRate = new UpstreamRate();

    UpstreamLoad(ListedUpstream upstream, Optional<EngineSpec> engine) {
        mUpstream = upstream;
        mCache = engine.map(spec -> new PrefixCacheEstimate(spec.memoryTokens()));
    }

    ListedUpstream upstream() {
        return mUpstream;
    }

    UpstreamHealth health() {
        return mHealth;
    }

    /** Sets what is listed of this incarnation of the upstream now. */
    void setUpstream(ListedUpstream upstream) {
        mUpstream = upstream;
    }

    /** Returns the upstream's rate limit and the tokens for further requests. */
    UpstreamRate rate() {
        return mRate;
    }

    /**
     * Returns how many tokens of a prompt the upstream is expected to prefill.
     *
     * @param preferred whether this is the upstream to which all instances prefer to send prompts
     *     with the same shared part
     */
    long newTokens(Prompt prompt, boolean preferred) {
        long cachedTokens = mCache.map(cache -> cache.cachedTokens(prompt.parts())).orElse(0L);
        if (preferred) {
            cachedTokens =
                    Math.max(
                            cachedTokens,
                            (long) (prompt.sharedTokens() * PREFERRED_CACHED_FRACTION));
        }
        return Math.max(0, prompt.promptTokens() - cachedTokens);
    }

    void addStarted(Ticket ticket, List<PromptPart> parts) {
        mTotals = Optional.empty();
        mRunning.add(ticket);
        mPrefillTokens += ticket.newTokens();
        mMemoryTokens += ticket.memoryTokens();
        mCache.ifPresent(cache -> cache.add(parts));
    }

    void recordFirstEvent(Ticket ticket, long nowMillis) {
        if (!ticket.isPrefilling() || !mRunning.contains(ticket)) {
            return;
        }
        ticket.finishPrefill();
        mTotals = Optional.empty();
        mPrefillTokens -= ticket.newTokens();
        long tokens = ticket.newTokens() + ticket.aheadTokens();
        long prefillMillis = nowMillis - ticket.startedMillis() - FIRST_EVENT_BASE_MILLIS;
        if (tokens >= MIN_MEASURED_TOKENS && prefillMillis > 0) {
            double measured = (double) tokens / prefillMillis;
            double bounded =
                    Math.max(MIN_TOKENS_PER_MILLI, Math.min(MAX_TOKENS_PER_MILLI, measured));
            mSpeedMeasured = true;
            mTokensPerMilli += SPEED_WEIGHT * (bounded - mTokensPerMilli);
        }
    }

    void removeEnded(Ticket ticket) {
        if (!mRunning.remove(ticket)) {
            return;
        }
        mTotals = Optional.empty();
        mMemoryTokens -= ticket.memoryTokens();
        if (ticket.isPrefilling()) {
            ticket.finishPrefill();
            mPrefillTokens -= ticket.newTokens();
        }
    }

    /**
     * Applies another instance's report of its use.
     *
     * @param aggregate whether it reports for all instances for which it decides, which it does
     *     periodically and not at each change
     */
    void updatePeer(
            InstanceId instance, Optional<UpstreamUse> use, boolean aggregate, long nowMillis) {
        if (use.isEmpty()) {
            mRate.reportedNothing(instance, nowMillis);
        }
        if (use.isEmpty() && !mPeers.containsKey(instance)) {
            return;
        }
        mTotals = Optional.empty();
        if (use.isPresent()) {
            PeerUse previous = mPeers.get(instance);
            boolean stalled = previous != null && previous.isStalledAt(use.get());
            mRate.charge(instance, use.get().starts(), aggregate, nowMillis);
            mPeers.put(
                    instance, new PeerUse(use.get(), aggregate, aggregate && !stalled, nowMillis));
        } else {
            mPeers.remove(instance);
        }
    }

    /** Adds a request that was granted to another instance, whose reports do not include it yet. */
    void addGranted(InstanceId requester, long grant, Ticket ticket, List<PromptPart> parts) {
        mTotals = Optional.empty();
        mPendingGrants.add(new PendingGrant(requester, grant, ticket));
        mCache.ifPresent(cache -> cache.add(parts));
    }

    /** Removes a request that was granted and is not started, unless it no longer counts. */
    void removeGranted(Ticket ticket) {
        if (mPendingGrants.removeIf(each -> each.ticket() == ticket)) {
            mTotals = Optional.empty();
        }
    }

    /** Records that an instance's reports include all its grants up to a number. */
    void acknowledgeGrants(InstanceId requester, long grant) {
        if (mPendingGrants.removeIf(
                each -> each.requester().equals(requester) && each.grant() <= grant)) {
            mTotals = Optional.empty();
        }
    }

    int running(long nowMillis) {
        return totals(nowMillis).running();
    }

    /** Returns the estimated number of prompt tokens that the upstream still has to prefill. */
    long prefillTokens(long nowMillis) {
        return totals(nowMillis).prefillTokens();
    }

    long memoryTokens(long nowMillis) {
        return totals(nowMillis).memoryTokens();
    }

    /**
     * Returns the prefill speed in tokens per millisecond: the mean of the instances' measurements.
     */
    double tokensPerMilli(long nowMillis) {
        return totals(nowMillis).tokensPerMilli();
    }

    /**
     * Returns the load at a point in time; it is computed once for all calls with the same time.
     */
    private Totals totals(long nowMillis) {
        if (mTotals.filter(totals -> totals.atMillis() == nowMillis).isEmpty()) {
            mTotals = Optional.of(computeTotals(nowMillis));
        }
        return mTotals.get();
    }

    private Totals computeTotals(long nowMillis) {
        int running = mRunning.size();
        long prefillTokens = mPrefillTokens;
        long memoryTokens = mMemoryTokens;
        mPendingGrants.removeIf(
                each -> nowMillis - each.ticket().startedMillis() > GRANT_TIMEOUT_MILLIS);
        for (PendingGrant each : mPendingGrants) {
            running++;
            prefillTokens += each.ticket().newTokens();
            memoryTokens += each.ticket().memoryTokens();
        }
        mPeers.values().removeIf(peer -> nowMillis - peer.atMillis() > PEER_USE_TIMEOUT_MILLIS);
        double speedSum = mSpeedMeasured ? mTokensPerMilli : 0;
        int measurements = mSpeedMeasured ? 1 : 0;
        PrefillBacklog extrapolated = new PrefillBacklog();
        for (PeerUse peer : mPeers.values()) {
            running += peer.use().running();
            memoryTokens += peer.use().memoryTokens();
            if (peer.extrapolated()) {
                extrapolated.add(peer.use().prefillTokens(), peer.atMillis());
            } else {
                prefillTokens += peer.use().prefillTokens();
            }
            if (peer.use().tokensPerMilli() > 0) {
                speedSum += peer.use().tokensPerMilli();
                measurements++;
            }
        }
        double speed = measurements == 0 ? mTokensPerMilli : speedSum / measurements;
        prefillTokens += extrapolated.tokens(speed, nowMillis);
        return new Totals(running, prefillTokens, memoryTokens, speed, nowMillis);
    }

    /** Returns the estimated time to the first event of a prompt sent now, in milliseconds. */
    long firstEventMillis(long newTokens, long nowMillis) {
        double speed = tokensPerMilli(nowMillis);
        double prefillMillis = (prefillTokens(nowMillis) + newTokens) / speed;
        return FIRST_EVENT_BASE_MILLIS + (long) prefillMillis + mRate.waitMillis(nowMillis);
    }

    /**
     * Returns the estimated time that the upstream needs for its prefill backlog, in milliseconds.
     */
    double backlogMillis(long nowMillis) {
        return prefillTokens(nowMillis) / tokensPerMilli(nowMillis);
    }

    /** Returns whether the upstream has no known prefill backlog and most of its slots are free. */
    boolean isIdle(long nowMillis) {
        return prefillTokens(nowMillis) == 0
                && running(nowMillis) < mUpstream.slots() * IDLE_SLOTS_FRACTION;
    }

    /** Returns whether this or another instance measured the prefill speed. */
    boolean isSpeedMeasured() {
        return mSpeedMeasured
                || mPeers.values().stream().anyMatch(each -> each.use().tokensPerMilli() > 0);
    }

    /**
     * Returns whether the upstream prefills a long prompt. Reports of other instances state only
     * the sum of their tokens; several short prompts of one instance rarely add up to a long one,
     * because little backlog is admitted.
     *
     * @param longMillis the prefill time above which a prompt is long, in milliseconds
     */
    boolean hasLongPrefill(double longMillis, long nowMillis) {
        double longTokens = longMillis * tokensPerMilli(nowMillis);
        return mRunning.stream()
                        .anyMatch(each -> each.isPrefilling() && each.newTokens() > longTokens)
                || mPendingGrants.stream().anyMatch(each -> each.ticket().newTokens() > longTokens)
                || mPeers.values().stream()
                        .anyMatch(each -> each.use().prefillTokens() > longTokens);
    }

    Optional<UpstreamUse> ownUse(long nowMillis) {
        return mRunning.isEmpty() && !mRate.isReported(mRate.ownStarts(), nowMillis)
                ? Optional.empty()
                : Optional.of(
                        new UpstreamUse(
                                mUpstream.id(),
                                mRunning.size(),
                                mPrefillTokens,
                                mMemoryTokens,
                                mSpeedMeasured ? (int) Math.round(mTokensPerMilli) : 0,
                                mRate.ownStarts()));
    }

    /** Returns the use of this instance and of all those that report each change to it. */
    Optional<UpstreamUse> aggregateUse(long nowMillis) {
        int running = mRunning.size() + mPendingGrants.size();
        long prefillTokens = mPrefillTokens;
        long memoryTokens = mMemoryTokens;
        for (PendingGrant each : mPendingGrants) {
            prefillTokens += each.ticket().newTokens();
            memoryTokens += each.ticket().memoryTokens();
        }
        for (PeerUse peer : mPeers.values()) {
            if (!peer.aggregate()) {
                running += peer.use().running();
                prefillTokens += peer.use().prefillTokens();
                memoryTokens += peer.use().memoryTokens();
            }
        }
        int speed = (int) Math.round(tokensPerMilli(nowMillis));
        long starts = mRate.aggregateStarts();
        return running == 0 && !mRate.isReported(starts, nowMillis)
                ? Optional.empty()
                : Optional.of(
                        new UpstreamUse(
                                mUpstream.id(),
                                running,
                                prefillTokens,
                                memoryTokens,
                                speed,
                                starts));
    }

    private record PendingGrant(InstanceId requester, long grant, Ticket ticket) {}

    private record Totals(
            int running,
            long prefillTokens,
            long memoryTokens,
            double tokensPerMilli,
            long atMillis) {}

    /**
     * The reported use of another instance.
     *
     * @param aggregate whether it is the use of all instances for which that instance decides
     * @param extrapolated whether the upstream is assumed to continue to prefill until the next
     *     report: only for periodic reports, and not if the last two showed no progress
     */
    private record PeerUse(
            UpstreamUse use, boolean aggregate, boolean extrapolated, long atMillis) {
        /** Returns whether a later report shows the same unfinished prefill, so no progress. */
        boolean isStalledAt(UpstreamUse later) {
            return later.prefillTokens() > 0
                    && later.prefillTokens() == use.prefillTokens()
                    && later.running() == use.running();
        }
    }
}
