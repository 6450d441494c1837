package org.magnoliapick.router.internal.caller;

import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.record.Cause;

/** The cause that the record of a failed request names. */
final class EndCause {
    private EndCause() {}

    static Cause of(ErrorKind kind) {
        switch (kind) {
            case WORKSPACE_QUEUE_FULL:
                return Cause.WORKSPACE_QUEUE_FULL;
            case INSTANCE_QUEUE_FULL:
                return Cause.INSTANCE_QUEUE_FULL;
            case DEADLINE_BEFORE_START:
            case DEADLINE_AFTER_START:
                return Cause.DEADLINE;
            case NO_UPSTREAM:
                return Cause.NO_UPSTREAM;
            case NOT_READY:
                return Cause.DRAIN;
            case UPSTREAM_REFUSED:
                return Cause.UPSTREAM_REFUSED;
            case LOG_UNAVAILABLE:
                return Cause.LOG_DOWN;
            case CLAIM_IN_PROGRESS:
            case CLAIM_OUTCOME_UNKNOWN:
            case ALREADY_RUN:
            case KEY_REUSED:
                return Cause.CLAIM;
            case CALLER_GONE:
                return Cause.CALLER_GONE;
            default:
                return Cause.UPSTREAM_FAILED;
        }
    }
}
