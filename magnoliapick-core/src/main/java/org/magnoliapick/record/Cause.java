package org.magnoliapick.record;

import java.util.Locale;
import java.util.Optional;
import org.magnoliapick.errors.ErrorKind;

/** The cause of a decision. */
public enum Cause {
    /** The request was accepted and queued. */
    ADMITTED("it was accepted"),
    /** The queue of the workspace was at its limit. */
    WORKSPACE_QUEUE_FULL("the workspace's queue was full"),
    /** The queue of the instance was at its limit. */
    INSTANCE_QUEUE_FULL("the instance's queue was full"),
    /** The deadline could not be met. */
    DEADLINE("its deadline could not be met"),
    /** Another workspace had received less service. */
    BEHIND_WORKSPACE("another workspace had received less service"),
    /** An earlier or more urgent request of the same workspace was ahead. */
    BEHIND_OWN_REQUEST("an earlier or more urgent request of its own workspace was ahead"),
    /** All slots of the pool were in use. */
    NO_SLOT("every slot of the pool was taken"),
    /** The slot limit of an upstream was lowered. */
    SLOT_LIMIT_LOWERED("the slot limit of an upstream was lowered"),
    /** No upstream serves the target. */
    NO_UPSTREAM("no upstream served the target"),
    /** Requests with a part of its prompt had crashed upstreams. */
    QUARANTINED("requests with a part of its prompt had crashed upstreams"),
    /** The workspace had received the least service. */
    LEAST_SERVICE("its workspace had received the least service"),
    /** Slots were free and no workspace was backlogged. */
    STANDING_CREDIT("slots were free and no workspace was backlogged"),
    /** The upstream had the fewest requests relative to its slot limit. */
    LEAST_LOADED("that upstream had the fewest requests for its limit"),
    /** The upstream had the prompt's prefix in its cache. */
    CACHE_AFFINITY("that upstream had the prompt's prefix in its cache"),
    /** The instance's own pool was full and another failure domain had free slots. */
    SPILL("the instance's own pool was full and another failure domain had free slots"),
    /** The dispatcher was unreachable, so the instance used its static share of the slots. */
    FALLBACK(
            "the dispatcher could not be reached and the instance used its own share of the slots"),
    /** An upstream or an instance was draining. */
    DRAIN("an upstream or an instance was leaving"),
    /** An upstream failed and was ejected. */
    EJECTED("an upstream failed and was ejected"),
    /** An attempt failed and another one was allowed. */
    RETRY("an attempt failed and another one was allowed"),
    /** The retry budget was used up. */
    RETRY_BUDGET("the retry budget was used up"),
    /** The log could not be reached. */
    LOG_DOWN("the log could not be reached"),
    /** A claim decided who runs the request. */
    CLAIM("a claim decided who runs it"),
    /** The upstream proved that it had not started the request. */
    UPSTREAM_REFUSED("the upstream proved that it had not started it"),
    /** The upstream failed or its response was invalid. */
    UPSTREAM_FAILED("the upstream failed or its answer was broken"),
    /** The caller disconnected. */
    CALLER_GONE("the caller went away"),
    /** The caller received the complete response. */
    COMPLETED("the whole answer was given"),
    /** The configuration orders the engine to do it. */
    ORDER("the settings asked for it");

    private final String mPhrase;

    Cause(String phrase) {
        mPhrase = phrase;
    }

    /** Returns the cause as a clause that can follow "because" in an explanation. */
    public String phrase() {
        return mPhrase;
    }

    /** Returns the name used in JSON and logs, such as {@code no-slot}. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the cause with the given {@link #wireName}, or empty if there is none. */
    public static Optional<Cause> ofWireName(String name) {
        for (Cause cause : values()) {
            if (cause.wireName().equals(name)) {
                return Optional.of(cause);
            }
        }
        return Optional.empty();
    }

    /** Returns the cause to record for a request that ended with an error of the given kind. */
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
            case QUARANTINED:
                return QUARANTINED;
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
