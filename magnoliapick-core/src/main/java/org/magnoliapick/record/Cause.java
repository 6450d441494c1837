package org.magnoliapick.record;

import java.util.Locale;
import java.util.Optional;
import org.magnoliapick.errors.ErrorKind;

/** The closed list of causes of decisions. */
public enum Cause {
    /** The request was accepted and queued. */
    ADMITTED("it was accepted"),
    /** The queue of the workspace was full. */
    WORKSPACE_QUEUE_FULL("the workspace's queue was full"),
    /** The queue of the instance was full. */
    INSTANCE_QUEUE_FULL("the instance's queue was full"),
    /** The deadline could not be met. */
    DEADLINE("its deadline could not be met"),
    /** Another workspace had received less service. */
    BEHIND_WORKSPACE("another workspace had received less service"),
    /** An earlier or more urgent request of the same workspace was ahead. */
    BEHIND_OWN_REQUEST("an earlier or more urgent request of its own workspace was ahead"),
    /** Every slot of the pool was taken. */
    NO_SLOT("every slot of the pool was taken"),
    /** The slot limit of an upstream was lowered. */
    SLOT_LIMIT_LOWERED("the slot limit of an upstream was lowered"),
    /** No upstream serves the target. */
    NO_UPSTREAM("no upstream served the target"),
    /** The workspace had received the least service. */
    LEAST_SERVICE("its workspace had received the least service"),
    /** Slots were free and no workspace was backlogged. */
    STANDING_CREDIT("slots were free and no workspace was backlogged"),
    /** The upstream had the fewest requests for its limit. */
    LEAST_LOADED("that upstream had the fewest requests for its limit"),
    /** The upstream had the prompt's prefix in its cache. */
    CACHE_AFFINITY("that upstream had the prompt's prefix in its cache"),
    /** The own pool was full and another failure domain had free slots. */
    SPILL("the own pool was full and another failure domain had free slots"),
    /** The dispatcher could not be reached; the own share of the slots was used. */
    FALLBACK("the dispatcher could not be reached and the own share of the slots was used"),
    /** An upstream or an instance was leaving. */
    DRAIN("an upstream or an instance was leaving"),
    /** An upstream failed and was ejected. */
    EJECTED("an upstream failed and was ejected"),
    /** An attempt failed and another one was started. */
    RETRY("an attempt failed and another one was allowed"),
    /** The retry budget was used up. */
    RETRY_BUDGET("the retry budget was used up"),
    /** The log could not be reached. */
    LOG_DOWN("the log could not be reached"),
    /** A claim decided who runs the request. */
    CLAIM("a claim decided who runs it"),
    /** The upstream proved that it had not started the request. */
    UPSTREAM_REFUSED("the upstream proved that it had not started it"),
    /** The upstream failed or its answer was broken. */
    UPSTREAM_FAILED("the upstream failed or its answer was broken"),
    /** The caller went away. */
    CALLER_GONE("the caller went away"),
    /** The request got its whole answer. */
    COMPLETED("the whole answer was given"),
    /** An order was sent to an engine. */
    ORDER("the settings asked for it");

    private final String mPhrase;

    Cause(String phrase) {
        mPhrase = phrase;
    }

    /** Returns the cause as a clause that may follow "because". */
    public String phrase() {
        return mPhrase;
    }

    /** Returns the name used in answers and logs. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Finds the cause of a name used in answers and logs. */
    public static Optional<Cause> ofWireName(String name) {
        for (Cause cause : values()) {
            if (cause.wireName().equals(name)) {
                return Optional.of(cause);
            }
        }
        return Optional.empty();
    }

    /** Returns the cause that records name for a request that ended with an error of a kind. */
    public static Cause of(ErrorKind kind) {
        switch (kind) {
            case WORKSPACE_QUEUE_FULL:
                return WORKSPACE_QUEUE_FULL;
            case INSTANCE_QUEUE_FULL:
                return INSTANCE_QUEUE_FULL;
            case DEADLINE_BEFORE_START:
            case DEADLINE_AFTER_START:
                return DEADLINE;
            case NO_UPSTREAM:
                return NO_UPSTREAM;
            case NOT_READY:
                return DRAIN;
            case UPSTREAM_REFUSED:
                return UPSTREAM_REFUSED;
            case LOG_UNAVAILABLE:
                return LOG_DOWN;
            case CLAIM_IN_PROGRESS:
            case CLAIM_OUTCOME_UNKNOWN:
            case ALREADY_RUN:
            case KEY_REUSED:
                return CLAIM;
            case CALLER_GONE:
                return CALLER_GONE;
            default:
                return UPSTREAM_FAILED;
        }
    }
}
