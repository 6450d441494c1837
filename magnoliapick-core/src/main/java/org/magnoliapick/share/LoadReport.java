package org.magnoliapick.share;

/**
 * What an upstream reports of its load, possibly late.
 *
 * @param takenAtMillis when the upstream took the figures, in milliseconds since the epoch
 * @param running requests in its batch, or workers held
 * @param waiting requests queued inside it
 * @param maxRunning the most that it can run at once
 * @param cacheUsedRatio the used part of its prefix cache, from 0 to 1
 */
public record LoadReport(
        long takenAtMillis, int running, int waiting, int maxRunning, double cacheUsedRatio) {}
