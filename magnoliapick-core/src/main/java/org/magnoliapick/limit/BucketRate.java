package org.magnoliapick.limit;

/**
 * The rate at which a token bucket is filled.
 *
 * @param perSecond the rate limit of the upstream in requests per second
 * @param share the fraction of the limit that the instance may use
 * @param expires whether unused tokens expire, because many instances have a small share each and
 *     would otherwise use what they saved at the same time
 */
public record BucketRate(double perSecond, double share, boolean expires) {}
