package org.magnoliapick.errors;

import java.util.Locale;

/** What a caller may conclude from an answer about the execution of its request. */
public enum Outcome {
    /** The answer is complete and comes from an execution of this request. */
    WHOLE,
    /** The request was not run, and will not be. */
    NOT_RUN,
    /** The request may have run; its answer is not available. */
    FAILED,
    /** It is not known whether the request ran. */
    OUTCOME_UNKNOWN;

    /** Returns the name used in the outcome header. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
