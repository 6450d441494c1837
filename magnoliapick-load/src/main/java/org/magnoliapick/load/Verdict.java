package org.magnoliapick.load;

/** How a request ended for its caller. */
public enum Verdict {
    /** The whole answer to the request. */
    WHOLE,
    /** Refused, and not run. */
    NOT_RUN,
    /** May have run; its answer cannot be given. */
    FAILED,
    /** Nobody can tell whether it ran. */
    UNKNOWN,
    /** Another request's answer, or one that names no request. */
    CROSSED,
    /** No answer, or one that broke off without a word. */
    LOST
}
