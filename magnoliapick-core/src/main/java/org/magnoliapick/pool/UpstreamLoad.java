package org.magnoliapick.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.relay.Prompt;
import org.magnoliapick.relay.PromptPart;
import org.magnoliapick.route.EngineSpec;

/** What this instance knows of the load of one upstream: its own use and that of the others. */
final class UpstreamLoad {
    /** How long what another instance told of its use counts, in milliseconds. */
    private static final long PEER_USE_MILLIS = 1_500;

    /** How long a grant counts that its instance does not report, in milliseconds. */
    private static final long PENDING_MILLIS = 1_000;

    /** Prompt tokens that an engine reads in a millisecond, until it has been seen reading. */
    private static final double INITIAL_TOKENS_PER_MILLI = 60;

    private static final double LEAST_TOKENS_PER_MILLI = 5;
    private static final double MOST_TOKENS_PER_MILLI = 120;

    /** Tokens below which the time of a first event says little of the reading speed. */
    private static final long TELLING_TOKENS = 3_000;

    /** The time of a first event that is not reading, in milliseconds: network and one step. */
    private static final long FIRST_EVENT_BASE_MILLIS = 12;

    /** The weight of one observation in the reading speed. */
    private static final double SPEED_WEIGHT = 0.15;

    /** The part of a prompt's shared parts that its home is expected to keep, unseen. */
    private static final double HOME_KEPT_SHARE = 0.8;

    /** The part of its slots below which an upstream is idle. */
    private static final double IDLE_SLOTS_SHARE = 0.5;

    private final UpstreamHealth mHealth = new UpstreamHealth();
    private final Map<InstanceId, PeerUse> mPeers = new HashMap<>();
    private final Optional<PrefixCacheEstimate> mCache;
    private final List<PendingGrant> mPending = new ArrayList<>();
    private ListedUpstream mUpstream;
    private int mRunning;
    private long mReadingTokens;
    private long mMemoryTokens;
    private double mTokensPerMilli = INITIAL_TOKENS_PER_MILLI;
    private boolean mSpeedSeen;
    private Optional<Totals> mTotals = Optional.empty();

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

    void listed(ListedUpstream upstream) {
        if (!upstream.sameIncarnation(mUpstream)) {
            mCache.ifPresent(PrefixCacheEstimate::clear);
        }
        mUpstream = upstream;
    }

    /**
     * Returns how many tokens of a prompt the upstream is expected to read.
     *
     * @param home whether all instances send prompts with this prompt's shared part here
     */
    long newTokens(Prompt prompt, boolean home) {
        long kept = mCache.map(cache -> cache.keptTokens(prompt.parts())).orElse(0L);
        if (home) {
            kept = Math.max(kept, (long) (prompt.sharedTokens() * HOME_KEPT_SHARE));
        }
        return Math.max(0, prompt.promptTokens() - kept);
    }

    void started(Ticket ticket, List<PromptPart> parts) {
        mTotals = Optional.empty();
        mRunning++;
        mReadingTokens += ticket.newTokens();
        mMemoryTokens += ticket.memoryTokens();
        mCache.ifPresent(cache -> cache.sent(parts));
    }

    void firstEvent(Ticket ticket, long nowMillis) {
        if (!ticket.reading()) {
            return;
        }
        ticket.readingDone();
        mTotals = Optional.empty();
        mReadingTokens -= ticket.newTokens();
        long tokens = ticket.newTokens() + ticket.aheadTokens();
        long tookMillis = nowMillis - ticket.startedMillis() - FIRST_EVENT_BASE_MILLIS;
        if (tokens >= TELLING_TOKENS && tookMillis > 0) {
            double seen = (double) tokens / tookMillis;
            double bounded =
                    Math.max(LEAST_TOKENS_PER_MILLI, Math.min(MOST_TOKENS_PER_MILLI, seen));
            mSpeedSeen = true;
            mTokensPerMilli += SPEED_WEIGHT * (bounded - mTokensPerMilli);
        }
    }

    void ended(Ticket ticket) {
        mTotals = Optional.empty();
        mRunning--;
        mMemoryTokens -= ticket.memoryTokens();
        if (ticket.reading()) {
            ticket.readingDone();
            mReadingTokens -= ticket.newTokens();
        }
    }

    /**
     * Takes what another instance told of its use.
     *
     * @param whole whether it tells of all for whom it decides: now and then, not of each change
     */
    void peer(InstanceId instance, Optional<UpstreamUse> use, boolean whole, long nowMillis) {
        if (use.isEmpty() && !mPeers.containsKey(instance)) {
            return;
        }
        mTotals = Optional.empty();
        if (use.isPresent()) {
            PeerUse before = mPeers.get(instance);
            boolean stalled = before != null && before.noProgress(use.get());
            mPeers.put(instance, new PeerUse(use.get(), whole, whole && !stalled, nowMillis));
        } else {
            mPeers.remove(instance);
        }
    }

    /** Notes a request that another instance was granted and has not reported yet. */
    void granted(InstanceId asker, long grant, Ticket ticket, List<PromptPart> parts) {
        mTotals = Optional.empty();
        mPending.add(new PendingGrant(asker, grant, ticket));
        mCache.ifPresent(cache -> cache.sent(parts));
    }

    /** Notes that an instance's reports hold what it was granted up to a number. */
    void reported(InstanceId asker, long grant) {
        if (mPending.removeIf(each -> each.asker().equals(asker) && each.grant() <= grant)) {
            mTotals = Optional.empty();
        }
    }

    int running(long nowMillis) {
        return totals(nowMillis).running();
    }

    /** Returns the tokens that the upstream still has to read, as far as is known. */
    long readingTokens(long nowMillis) {
        return totals(nowMillis).readingTokens();
    }

    long memoryTokens(long nowMillis) {
        return totals(nowMillis).memoryTokens();
    }

    /** Returns the speed of reading: the mean of what the instances saw. */
    double tokensPerMilli(long nowMillis) {
        return totals(nowMillis).tokensPerMilli();
    }

    /** Returns the load as it is now; added up once for all questions about one moment. */
    private Totals totals(long nowMillis) {
        if (mTotals.filter(totals -> totals.atMillis() == nowMillis).isEmpty()) {
            mTotals = Optional.of(addUp(nowMillis));
        }
        return mTotals.get();
    }

    private Totals addUp(long nowMillis) {
        int running = mRunning;
        long reading = mReadingTokens;
        long memory = mMemoryTokens;
        mPending.removeIf(each -> nowMillis - each.ticket().startedMillis() > PENDING_MILLIS);
        for (PendingGrant each : mPending) {
            running++;
            reading += each.ticket().newTokens();
            memory += each.ticket().memoryTokens();
        }
        mPeers.values().removeIf(peer -> nowMillis - peer.atMillis() > PEER_USE_MILLIS);
        double speeds = mSpeedSeen ? mTokensPerMilli : 0;
        int seen = mSpeedSeen ? 1 : 0;
        PrefillBacklog old = new PrefillBacklog();
        for (PeerUse peer : mPeers.values()) {
            running += peer.use().running();
            memory += peer.use().memoryTokens();
            if (peer.readsOn()) {
                old.add(peer.use().prefillTokens(), peer.atMillis());
            } else {
                reading += peer.use().prefillTokens();
            }
            if (peer.use().tokensPerMilli() > 0) {
                speeds += peer.use().tokensPerMilli();
                seen++;
            }
        }
        double speed = seen == 0 ? mTokensPerMilli : speeds / seen;
        reading += old.tokens(speed, nowMillis);
        return new Totals(running, reading, memory, speed, nowMillis);
    }

    /** Returns the expected time to the first event of a prompt sent now, in milliseconds. */
    long firstEventMillis(long newTokens, long nowMillis) {
        double speed = tokensPerMilli(nowMillis);
        double reading = (readingTokens(nowMillis) + newTokens) / speed;
        return FIRST_EVENT_BASE_MILLIS + (long) reading;
    }

    /** Returns how long the upstream reads before it gets to a prompt sent now. */
    double aheadMillis(long nowMillis) {
        return readingTokens(nowMillis) / tokensPerMilli(nowMillis);
    }

    /** Returns whether nothing is to be read and most slots are free, as far as is known. */
    boolean idle(long nowMillis) {
        return readingTokens(nowMillis) == 0
                && running(nowMillis) < mUpstream.slots() * IDLE_SLOTS_SHARE;
    }

    Optional<UpstreamUse> own() {
        return mRunning == 0
                ? Optional.empty()
                : Optional.of(
                        new UpstreamUse(
                                mUpstream.id(),
                                mRunning,
                                mReadingTokens,
                                mMemoryTokens,
                                mSpeedSeen ? (int) Math.round(mTokensPerMilli) : 0));
    }

    /** Returns the use of this instance and of all that tell it of each change. */
    Optional<UpstreamUse> whole(long nowMillis) {
        int running = mRunning + mPending.size();
        long reading = mReadingTokens;
        long memory = mMemoryTokens;
        for (PendingGrant each : mPending) {
            reading += each.ticket().newTokens();
            memory += each.ticket().memoryTokens();
        }
        for (PeerUse peer : mPeers.values()) {
            if (!peer.whole()) {
                running += peer.use().running();
                reading += peer.use().prefillTokens();
                memory += peer.use().memoryTokens();
            }
        }
        int speed = (int) Math.round(tokensPerMilli(nowMillis));
        return running == 0
                ? Optional.empty()
                : Optional.of(new UpstreamUse(mUpstream.id(), running, reading, memory, speed));
    }

    private record PendingGrant(InstanceId asker, long grant, Ticket ticket) {}

    private record Totals(
            int running,
            long readingTokens,
            long memoryTokens,
            double tokensPerMilli,
            long atMillis) {}

    /**
     * What another instance told.
     *
     * @param whole whether it is the use of all for whom the instance decides
     * @param readsOn whether the upstream is taken to read on until the next news of it
     */
    private record PeerUse(UpstreamUse use, boolean whole, boolean readsOn, long atMillis) {
        boolean noProgress(UpstreamUse later) {
            return later.prefillTokens() > 0
                    && later.prefillTokens() == use.prefillTokens()
                    && later.running() == use.running();
        }
    }
}
