package org.magnoliapick.record;

import java.util.Locale;

/** The closed list of causes of decisions. */
public enum Cause {
    /** The request was accepted and queued. */
    ADMITTED,
    /** The queue of the workspace was full. */
    WORKSPACE_QUEUE_FULL,
    /** The queue of the instance was full. */
    INSTANCE_QUEUE_FULL,
    /** The deadline could not be met. */
    DEADLINE,
    /** Another workspace had received less service. */
    BEHIND_WORKSPACE,
    /** An earlier or more urgent request of the same workspace was ahead. */
    BEHIND_OWN_REQUEST,
    /** Every slot of the pool was taken. */
    NO_SLOT,
    /** The slot limit of an upstream was lowered. */
    SLOT_LIMIT_LOWERED,
    /** No upstream serves the target. */
    NO_UPSTREAM,
    /** The workspace had received the least service. */
    LEAST_SERVICE,
    /** Slots were free and no workspace was backlogged. */
    STANDING_CREDIT,
    /** The upstream had the fewest requests for its limit. */
    LEAST_LOADED,
    /** The upstream had the prompt's prefix in its cache. */
    CACHE_AFFINITY,
    /** The own pool was full and another failure domain had free slots. */
    SPILL,
    /** The dispatcher could not be reached; the own share of the slots was used. */
    FALLBACK,
    /** An upstream or an instance was leaving. */
    DRAIN,
    /** An upstream failed and was ejected. */
    EJECTED,
    /** An attempt failed and another one was started. */
    RETRY,
    /** The retry budget was used up. */
    RETRY_BUDGET,
    /** The log could not be reached. */
    LOG_DOWN,
    /** A claim decided who runs the request. */
    CLAIM,
    /** The upstream proved that it had not started the request. */
    UPSTREAM_REFUSED,
    /** The upstream failed or its answer was broken. */
    UPSTREAM_FAILED,
    /** The caller went away. */
    CALLER_GONE,
    /** The request got its whole answer. */
    COMPLETED,
    /** An order was sent to an engine. */
    ORDER;

    /** Returns the name used in answers and logs. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
