package org.magnoliapick.errors;

import java.util.Locale;

/** What a caller may conclude from an answer. */
public enum Outcome {
    /** The whole answer of the request's own execution. */
    WHOLE,
    /** The request was not run, and will not be. */
    NOT_RUN,
    /** The request may have run; its answer cannot be given. */
    FAILED,
    /** Nobody can tell now whether the request ran. */
    OUTCOME_UNKNOWN;

    /** Returns the name used in the outcome header. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
