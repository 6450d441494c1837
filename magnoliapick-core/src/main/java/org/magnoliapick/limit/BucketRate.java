package org.magnoliapick.limit;

/**
 * The rate at which a token bucket is filled.
 *
 * @param perSecond the rate limit of the upstream in requests per second
 * @param share the fraction of the limit that the instance may use
 * @param expires whether unused tokens expire, because many instances have a small share each and
 *     would otherwise use what they saved at the same time
 * @param burstMillis the time whose tokens are kept if they are not used, in milliseconds
 */
public record BucketRate(double perSecond, double share, boolean expires, double burstMillis) {
    /** The time whose tokens are kept of a limit that applies to the mean of some seconds. */
    private static final double DEFAULT_BURST_MILLIS = 500;

    /** Creates a rate whose mean over some seconds is limited. */
    public BucketRate(double perSecond, double share, boolean expires) {
        this(perSecond, share, expires, DEFAULT_BURST_MILLIS);
    }
}
