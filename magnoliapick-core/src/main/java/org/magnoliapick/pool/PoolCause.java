package org.magnoliapick.pool;

import java.util.Locale;
import org.magnoliapick.errors.ErrorKind;

/**
 * The reason for a pool's decision. Messages between instances contain the ordinal, so the order of
 * the constants must not change.
 */
public enum PoolCause {
    /** An upstream had room immediately. */
    ROOM(ErrorKind.INTERNAL),
    /** An upstream had room after the request had waited. */
    ROOM_AFTER_WAIT(ErrorKind.INTERNAL),
    /** No upstream is listed. */
    NO_UPSTREAM(ErrorKind.NO_UPSTREAM),
    /** The answer would be late, and waiting longer would not help. */
    TOO_LATE(ErrorKind.WORKSPACE_QUEUE_FULL),
    /** The queue is full. */
    QUEUE_FULL(ErrorKind.INSTANCE_QUEUE_FULL),
    /** Upstreams crashed that ran the same request, or requests with a part of the prompt. */
    QUARANTINED(ErrorKind.QUARANTINED),
    /** The rate limits of all upstreams leave no room in time. */
    RATE_LIMITED(ErrorKind.WORKSPACE_QUEUE_FULL),
    /** All upstreams want no requests of the instance for a while. */
    PAUSED(ErrorKind.NO_UPSTREAM);

    private final ErrorKind mKind;

    PoolCause(ErrorKind kind) {
        mKind = kind;
    }

    /** Returns the error for the caller of a request that is refused for this reason. */
    public ErrorKind errorKind() {
        return mKind;
    }

    /** Returns the name used in log lines. */
    public String logName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
