package org.magnoliapick.record;

/** The kind of decision that a {@link DecisionRecord} describes. */
public enum Step {
    /** Whether a request is accepted. */
    ADMISSION,
    /** Why a request waits. */
    QUEUE,
    /** Which workspace is granted a slot. */
    GRANT,
    /** Which upstream a request is sent to. */
    UPSTREAM_CHOICE,
    /** Whether a failed attempt is retried. */
    RETRY,
    /** Why a request is refused. */
    REFUSAL,
    /** How a request ended. */
    END,
    /** How a draining upstream or instance is handled. */
    DRAIN,
    /** Which order is sent to an engine. */
    ORDER
}
