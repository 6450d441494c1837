package org.magnoliapick.pool;

import java.util.Optional;
import org.magnoliapick.relay.Prompt;
import org.magnoliapick.route.EngineSpec;

/** Weighs one upstream for one request. */
final class PlacementPolicy {
    /** The most of an engine's memory that running requests may come to fill. */
    private static final double MEMORY_SHARE = 0.9;

    /**
     * How long an engine may have to read before it gets to a request, in milliseconds: as much as
     * keeps it busy until the next report of the others, the rest waits here in order.
     */
    private static final double AHEAD_MILLIS = 80;

    /** What leaving the own failure domain costs, in milliseconds of waiting. */
    private static final double OTHER_DOMAIN_MILLIS = 25;

    /** What a share of failed attempts costs, in milliseconds of waiting. */
    private static final double FAILURE_MILLIS = 400;

    /** Requests beyond its slots that a plain upstream may hold, as a share of the slots. */
    private static final double PLAIN_QUEUE_SHARE = 0.5;

    /** What each request at a plain upstream costs, in milliseconds of waiting. */
    private static final double PLAIN_RUNNING_MILLIS = 12;

    /** The most of a large engine's slots that are filled: a larger batch reads more slowly. */
    private static final double SLOTS_SHARE = 0.7;

    /**
     * How many slots of a small engine are filled: a batch of so many reads at nearly full speed.
     */
    private static final int SMALL_BATCH = 16;

    private PlacementPolicy() {}

    /** Returns whether an engine takes any more work now. */
    static boolean hasRoom(UpstreamLoad load, EngineSpec engine, long nowMillis) {
        return load.running(nowMillis) < batch(engine.slots())
                && load.aheadMillis(nowMillis) <= AHEAD_MILLIS;
    }

    /** Returns how many requests an engine is to run at once. */
    static int batch(int slots) {
        int large = (int) Math.ceil(slots * SLOTS_SHARE);
        return Math.max(1, Math.min(slots, Math.max(SMALL_BATCH, large)));
    }

    static Optional<ScoredCandidate> engine(Candidate weighing, EngineSpec engine, long nowMillis) {
        PoolJob job = weighing.job();
        UpstreamLoad load = weighing.load();
        long newTokens = weighing.newTokens();
        boolean memoryLeft =
                load.memoryTokens(nowMillis) == 0
                        || load.memoryTokens(nowMillis) + memoryTokens(job, newTokens)
                                <= engine.memoryTokens() * MEMORY_SHARE;
        if (!memoryLeft || !hasRoom(load, engine, nowMillis)) {
            return Optional.empty();
        }
        double readMillis = newTokens / load.tokensPerMilli(nowMillis);
        long firstMillis = load.firstEventMillis(newTokens, nowMillis);
        double cost = firstMillis + readMillis + common(job, load);
        return Optional.of(new ScoredCandidate(load, newTokens, cost));
    }

    static Optional<ScoredCandidate> plain(PoolJob job, UpstreamLoad load, long nowMillis) {
        int running = load.running(nowMillis);
        int slots = load.upstream().slots();
        if (running >= slots * (1 + PLAIN_QUEUE_SHARE)) {
            return Optional.empty();
        }
        double queued = Math.max(0, running + 1 - slots) * 4.0;
        double cost = (running + queued) * PLAIN_RUNNING_MILLIS + common(job, load);
        return Optional.of(new ScoredCandidate(load, 0, cost));
    }

    /**
     * Returns how much memory a request may come to fill, in tokens: what others share with it and
     * the engine keeps already is there once for all of them.
     *
     * @param newTokens how many tokens of its prompt the engine has to read
     */
    static long memoryTokens(PoolJob job, long newTokens) {
        Prompt prompt = job.prompt();
        long ownTokens = prompt.promptTokens() - prompt.sharedTokens();
        return Math.max(newTokens, ownTokens) + prompt.maxOutputTokens();
    }

    private static double common(PoolJob job, UpstreamLoad load) {
        double other = load.upstream().domain().equals(job.domain()) ? 0 : OTHER_DOMAIN_MILLIS;
        return other + FAILURE_MILLIS * load.health().failureShare();
    }
}
