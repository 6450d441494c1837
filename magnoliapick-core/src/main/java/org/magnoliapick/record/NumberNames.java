package org.magnoliapick.record;

/** Keys of the values in {@link DecisionRecord#numbers} that explanations and summaries read. */
public final class NumberNames {
    /** The time that a request waited in the queue, in milliseconds. */
    public static final String WAITED_MILLIS = "waitedMillis";

    /** The time from the arrival of a request to its end, in milliseconds. */
    public static final String LATENCY_MILLIS = "latencyMillis";

    /** The time from the arrival of a request to its first token, in milliseconds. */
    public static final String FIRST_TOKEN_MILLIS = "firstTokenMillis";

    /** The longest time between two tokens of a request, in milliseconds. */
    public static final String TOKEN_GAP_MILLIS = "tokenGapMillis";

    /** The service used by a request: tokens for a model, milliseconds for a plain service. */
    public static final String USED_UNITS = "usedUnits";

    /** The ordinal of the request's {@link org.magnoliapick.lib.RequestClass}. */
    public static final String REQUEST_CLASS = "requestClass";

    /** The number of attempts made for a request. */
    public static final String ATTEMPTS = "attempts";

    private NumberNames() {}
}
