package org.magnoliapick.member;

/**
 * The timing of heartbeats between instances of one failure domain. The interval grows with the
 * number of instances, so that heartbeats stay within the budget for control traffic. Instances of
 * different failure domains exchange no heartbeats; the platform's list is the only source for
 * them.
 */
public final class Heartbeats {
    /** The shortest interval between two heartbeats to one instance, in milliseconds. */
    static final long MIN_INTERVAL_MILLIS = 1_000;

    /** The longest interval between two heartbeats to one instance, in milliseconds. */
    static final long MAX_INTERVAL_MILLIS = 5_000;

    /** What each neighbour adds to the interval, in milliseconds. */
    private static final long MILLIS_PER_NEIGHBOUR = 50;

    /** The number of intervals without a heartbeat after which a neighbour is suspected. */
    private static final long MISSED_UNTIL_SUSPECT = 3;

    private Heartbeats() {}

    /**
     * Returns the interval between two heartbeats to one instance, in milliseconds.
     *
     * @param neighbours the number of other instances in the same failure domain
     */
    public static long intervalMillis(int neighbours) {
        long wantedMillis = neighbours * MILLIS_PER_NEIGHBOUR;
        return Math.max(MIN_INTERVAL_MILLIS, Math.min(MAX_INTERVAL_MILLIS, wantedMillis));
    }

    /**
     * Returns the time without a heartbeat after which a neighbour is suspected, in milliseconds.
     *
     * @param neighbours the number of other instances in the same failure domain
     */
    public static long suspectAfterMillis(int neighbours) {
        return MISSED_UNTIL_SUSPECT * intervalMillis(neighbours);
    }
}
