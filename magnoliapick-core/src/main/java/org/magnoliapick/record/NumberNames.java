package org.magnoliapick.record;

/** The names, with units, of the numbers that explanations and summaries read from records. */
public final class NumberNames {
    /** How long a request waited in a queue, in milliseconds. */
    public static final String WAITED_MILLIS = "waitedMillis";

    /** The time from a request's arrival to its end, in milliseconds. */
    public static final String LATENCY_MILLIS = "latencyMillis";

    /** The time from a request's arrival to its first token, in milliseconds. */
    public static final String FIRST_TOKEN_MILLIS = "firstTokenMillis";

    /** The longest time between two tokens of a request, in milliseconds. */
    public static final String TOKEN_GAP_MILLIS = "tokenGapMillis";

    /** The service that a request used: tokens of a model, milliseconds of a plain service. */
    public static final String USED_UNITS = "usedUnits";

    /** The place of the request's class in {@link org.magnoliapick.lib.RequestClass}. */
    public static final String REQUEST_CLASS = "requestClass";

    /** The number of attempts that a request needed. */
    public static final String ATTEMPTS = "attempts";

    private NumberNames() {}
}
