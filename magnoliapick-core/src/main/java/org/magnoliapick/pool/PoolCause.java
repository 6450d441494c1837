package org.magnoliapick.pool;

import java.util.Locale;

/** Why a decision of a pool fell as it did. */
public enum PoolCause {
    /** An upstream had room at once. */
    ROOM,
    /** Room came while the request waited. */
    ROOM_AFTER_WAIT,
    /** No upstream is listed or all are ejected. */
    NO_UPSTREAM,
    /** The answer would come too late, and waiting longer would not help. */
    TOO_LATE,
    /** The queue is full. */
    QUEUE_FULL;

    /** Returns the name used in logs. */
    public String logName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
