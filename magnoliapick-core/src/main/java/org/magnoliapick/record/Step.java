package org.magnoliapick.record;

/** The kind of decision that a record describes. */
public enum Step {
    /** Whether a request is accepted. */
    ADMISSION,
    /** Why a request waits. */
    QUEUE,
    /** Which workspace gets a slot. */
    GRANT,
    /** Which upstream a request is sent to. */
    UPSTREAM_CHOICE,
    /** Whether a failed attempt is repeated. */
    RETRY,
    /** Why a request is refused. */
    REFUSAL,
    /** How a request ended. */
    END,
    /** What happens to a leaving member. */
    DRAIN,
    /** Which order an engine gets. */
    ORDER
}
