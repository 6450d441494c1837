package org.magnoliapick.share;

/**
 * Load reported by an upstream. Reports may arrive late.
 *
 * @param takenAtMillis when the upstream measured the load, in milliseconds since the epoch
 * @param running number of requests in the batch of a model engine, or of busy workers of a plain
 *     service
 * @param waiting number of requests queued in the upstream
 * @param maxRunning maximum number of requests that it can run concurrently
 * @param cacheUsedRatio used fraction of its prefix cache, from 0 to 1
 */
public record LoadReport(
        long takenAtMillis, int running, int waiting, int maxRunning, double cacheUsedRatio) {}
