package org.magnoliapick.bench.report;

/**
 * The time from arrival to the batch of one class and group of workspaces.
 *
 * @param requestClass the class
 * @param group the group of workspaces
 * @param count the requests that started
 * @param p50Millis the median, in milliseconds
 * @param p95Millis the 95th percentile, in milliseconds
 * @param p99Millis the 99th percentile, in milliseconds
 */
public record QueueRow(
        String requestClass,
        String group,
        long count,
        long p50Millis,
        long p95Millis,
        long p99Millis) {}
