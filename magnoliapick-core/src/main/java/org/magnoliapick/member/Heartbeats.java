package org.magnoliapick.member;

/**
 * How often instances of one failure domain tell each other that they live. The more there are, the
 * rarer, so that heartbeats stay within the budget for control traffic. Instances of other failure
 * domains exchange none; what is known of them comes from the platform's list.
 */
public final class Heartbeats {
    /** The shortest time between two heartbeats to one instance, in milliseconds. */
    static final long MIN_INTERVAL_MILLIS = 1_000;

    /** The longest time between two heartbeats to one instance, in milliseconds. */
    static final long MAX_INTERVAL_MILLIS = 5_000;

    private static final long MILLIS_PER_NEIGHBOUR = 50;
    private static final long MISSED_UNTIL_SUSPECT = 3;

    private Heartbeats() {}

    /** Returns the time between two heartbeats to one instance, in milliseconds. */
    public static long intervalMillis(int neighbours) {
        long wantedMillis = neighbours * MILLIS_PER_NEIGHBOUR;
        return Math.max(MIN_INTERVAL_MILLIS, Math.min(MAX_INTERVAL_MILLIS, wantedMillis));
    }

    /** Returns the silence after which a neighbour is suspected, in milliseconds. */
    public static long suspectAfterMillis(int neighbours) {
        return MISSED_UNTIL_SUSPECT * intervalMillis(neighbours);
    }
}
