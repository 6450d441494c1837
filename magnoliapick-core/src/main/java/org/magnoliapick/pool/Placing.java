package org.magnoliapick.pool;

import org.magnoliapick.relay.Prompt;
import org.magnoliapick.route.EngineSpec;

/** Weighs one upstream for one request. */
final class Placing {
    /**
     * The most of an engine's slots that are filled from here. The rest would add little to what it
     * generates in all, and slow every stream on it.
     */
    private static final double SLOTS_SHARE = 0.7;

    /** The most of an engine's memory that running requests may come to fill. */
    private static final double MEMORY_SHARE = 0.9;

    /**
     * How long an engine may have to read before it gets to a request, in milliseconds: as much as
     * keeps it busy until the next report of the others, the rest waits here in order.
     */
    private static final double AHEAD_MILLIS = 80;

    /** How long it takes until a slot of a full engine becomes free, in milliseconds. */
    private static final double SLOT_MILLIS = 40;

    /** The time of a first event that is not reading, in milliseconds: network and one step. */
    private static final long FIRST_EVENT_BASE_MILLIS = 12;

    /**
     * What reading a token again costs that is kept elsewhere, in milliseconds of waiting: it delays
     * all others, and operators pay for it.
     */
    private static final double READ_AGAIN_MILLIS = 0.1;

    /** What leaving the own failure domain costs, in milliseconds of waiting. */
    private static final double OTHER_DOMAIN_MILLIS = 25;

    /** What a share of failed attempts costs, in milliseconds of waiting. */
    private static final double FAILURE_MILLIS = 400;

    /** Requests beyond its slots that a plain upstream may hold, as a share of the slots. */
    private static final double PLAIN_QUEUE_SHARE = 0.5;

    /** What each request at a plain upstream costs, in milliseconds of waiting. */
    private static final double PLAIN_RUNNING_MILLIS = 12;

    private Placing() {}

    /**
     * Weighs an engine.
     *
     * @param newTokens how many tokens of the prompt it would have to read
     * @param before the waiting requests that go to it before this one
     */
    static Choice engine(
            PoolJob job,
            UpstreamLoad load,
            long newTokens,
            Before before,
            EngineSpec engine,
            long nowMillis) {
        int slots = (int) Math.max(1, engine.slots() * SLOTS_SHARE);
        int running = load.running(nowMillis) + before.requests();
        boolean memoryLeft =
                load.memoryTokens(nowMillis) == 0
                        || load.memoryTokens(nowMillis) + memoryTokens(job)
                                <= engine.memoryTokens() * MEMORY_SHARE;
        double perMilli = load.tokensPerMilli(nowMillis);
        double aheadMillis = (load.readingTokens(nowMillis) + before.newTokens()) / perMilli;
        double slotMillis = Math.max(0, running + 1 - slots) * SLOT_MILLIS;
        double readMillis = newTokens / perMilli;
        double firstMillis = FIRST_EVENT_BASE_MILLIS + aheadMillis + slotMillis + readMillis;
        double cost = firstMillis + READ_AGAIN_MILLIS * newTokens + common(job, load);
        boolean room = running < slots && memoryLeft && aheadMillis <= AHEAD_MILLIS;
        return new Choice(load, newTokens, (long) firstMillis, cost, room);
    }

    static Choice plain(PoolJob job, UpstreamLoad load, Before before, long nowMillis) {
        int running = load.running(nowMillis) + before.requests();
        int slots = load.upstream().slots();
        boolean room = running < slots * (1 + PLAIN_QUEUE_SHARE);
        double queued = Math.max(0, running + 1 - slots) * 4.0;
        double firstMillis = (running + queued) * PLAIN_RUNNING_MILLIS;
        double cost = firstMillis + common(job, load);
        return new Choice(load, 0, (long) firstMillis, cost, room);
    }

    /** Returns how much memory a request may come to fill, in tokens. */
    static long memoryTokens(PoolJob job) {
        Prompt prompt = job.prompt();
        return prompt.promptTokens() + prompt.maxOutputTokens();
    }

    private static double common(PoolJob job, UpstreamLoad load) {
        double other = load.upstream().domain().equals(job.domain()) ? 0 : OTHER_DOMAIN_MILLIS;
        return other + FAILURE_MILLIS * load.health().failureShare();
    }
}
