package org.magnoliapick.pool;

import java.util.Optional;
import org.magnoliapick.relay.Prompt;
import org.magnoliapick.route.EngineSpec;

/**
 * Decides whether an upstream has room for a request, and computes the cost of sending it there.
 */
final class PlacementPolicy {
    /** Maximum fraction of an engine's memory that running requests may fill. */
    private static final double MAX_MEMORY_FRACTION = 0.9;

    /**
     * Maximum prefill backlog of an engine that takes another request, in milliseconds: enough to
     * keep it busy until the next reports of other instances. Further requests wait here, where
     * they are kept in order.
     */
    private static final double MAX_BACKLOG_MILLIS = 80;

    /**
     * Cost of an upstream outside the requesting instance's failure domain, in milliseconds of
     * waiting.
     */
    private static final double OTHER_DOMAIN_COST_MILLIS = 25;

    /**
     * Cost of an upstream at which all recent attempts failed, in milliseconds of waiting; lower
     * failure ratios cost proportionally less.
     */
    private static final double FAILURE_COST_MILLIS = 400;

    /**
     * Number of requests beyond its slots that an upstream of a plain service, which has no model
     * engines, may hold, as a fraction of its slots.
     */
    private static final double PLAIN_QUEUE_FRACTION = 0.5;

    /** Cost of each request at an upstream of a plain service, in milliseconds of waiting. */
    private static final double PLAIN_REQUEST_COST_MILLIS = 12;

    /**
     * Additional cost of each request beyond the slots of a plain service's upstream, as a multiple
     * of {@link #PLAIN_REQUEST_COST_MILLIS}.
     */
    private static final double PLAIN_QUEUED_REQUEST_WEIGHT = 4;

    /**
     * Maximum fraction of a large engine's slots that is used, because a larger batch slows down
     * prefill.
     */
    private static final double LARGE_ENGINE_SLOTS_FRACTION = 0.7;

    /**
     * Number of slots that may be used at any engine: with a batch of this size, prefill runs at
     * nearly full speed.
     */
    private static final int MIN_BATCH_SLOTS = 16;

    private PlacementPolicy() {}

    /** Returns whether an engine can take any further request now. */
    static boolean hasRoom(UpstreamLoad load, EngineSpec engine, long nowMillis) {
        return load.running(nowMillis) < maxRunning(engine.slots())
                && load.backlogMillis(nowMillis) <= MAX_BACKLOG_MILLIS;
    }

    /** Returns how many requests an engine with a number of slots should run concurrently. */
    static int maxRunning(int slots) {
        int maxOfLargeEngine = (int) Math.ceil(slots * LARGE_ENGINE_SLOTS_FRACTION);
        return Math.max(1, Math.min(slots, Math.max(MIN_BATCH_SLOTS, maxOfLargeEngine)));
    }

    /** Returns an engine with its cost for a request; absent if it has no room. */
    static Optional<ScoredCandidate> scoreEngine(
            Candidate candidate, EngineSpec engine, long nowMillis) {
        PoolJob job = candidate.job();
        UpstreamLoad load = candidate.load();
        long newTokens = candidate.newTokens();
        boolean memoryLeft =
                load.memoryTokens(nowMillis) == 0
                        || load.memoryTokens(nowMillis) + memoryTokens(job, newTokens)
                                <= engine.memoryTokens() * MAX_MEMORY_FRACTION;
        if (!memoryLeft || !hasRoom(load, engine, nowMillis)) {
            return Optional.empty();
        }
        double prefillMillis = newTokens / load.tokensPerMilli(nowMillis);
        long firstEventMillis = load.firstEventMillis(newTokens, nowMillis);
        double cost = firstEventMillis + prefillMillis + commonCost(job, load);
        return Optional.of(new ScoredCandidate(load, newTokens, cost));
    }

    /** Returns an upstream of a plain service with its cost; absent if it has no room. */
    static Optional<ScoredCandidate> scorePlainService(
            PoolJob job, UpstreamLoad load, long nowMillis) {
        int running = load.running(nowMillis);
        int slots = load.upstream().slots();
        if (running >= slots * (1 + PLAIN_QUEUE_FRACTION)) {
            return Optional.empty();
        }
        double queued = Math.max(0, running + 1 - slots) * PLAIN_QUEUED_REQUEST_WEIGHT;
        double cost = (running + queued) * PLAIN_REQUEST_COST_MILLIS + commonCost(job, load);
        return Optional.of(new ScoredCandidate(load, 0, cost));
    }

    /**
     * Returns how much memory a request may fill, in tokens. Parts that it shares with other
     * requests and that the engine has cached are stored once for all of them, so they are not
     * counted.
     *
     * @param newTokens how many tokens of its prompt the engine has to prefill
     */
    static long memoryTokens(PoolJob job, long newTokens) {
        Prompt prompt = job.prompt();
        long ownTokens = prompt.promptTokens() - prompt.sharedTokens();
        return Math.max(newTokens, ownTokens) + prompt.maxOutputTokens();
    }

    private static double commonCost(PoolJob job, UpstreamLoad load) {
        double otherDomainCost =
                load.upstream().domain().equals(job.domain()) ? 0 : OTHER_DOMAIN_COST_MILLIS;
        return otherDomainCost + FAILURE_COST_MILLIS * load.health().failureRatio();
    }
}
