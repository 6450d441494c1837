package org.magnoliapick.bench.scenario;

/**
 * How upstreams report their load.
 *
 * @param everyMillis the time between two reports, in milliseconds
 * @param lagMillis how old a report is when it arrives, in milliseconds
 */
public record LoadReports(long everyMillis, long lagMillis) {}
