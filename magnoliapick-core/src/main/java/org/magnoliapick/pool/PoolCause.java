package org.magnoliapick.pool;

import java.util.Locale;
import org.magnoliapick.errors.ErrorKind;

/** Why a decision of a pool fell as it did. */
public enum PoolCause {
    /** An upstream had room at once. */
    ROOM(ErrorKind.INTERNAL),
    /** Room came while the request waited. */
    ROOM_AFTER_WAIT(ErrorKind.INTERNAL),
    /** No upstream is listed. */
    NO_UPSTREAM(ErrorKind.NO_UPSTREAM),
    /** The answer would come too late, and waiting longer would not help. */
    TOO_LATE(ErrorKind.WORKSPACE_QUEUE_FULL),
    /** The queue is full. */
    QUEUE_FULL(ErrorKind.INSTANCE_QUEUE_FULL);

    private final ErrorKind mKind;

    PoolCause(ErrorKind kind) {
        mKind = kind;
    }

    /** Returns the error that a caller gets who is refused for this cause. */
    public ErrorKind errorKind() {
        return mKind;
    }

    /** Returns the name used in logs. */
    public String logName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
