package org.magnoliapick.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Estimates how many prompt tokens an engine still has to prefill, from updates of different ages.
 * The engine continues to prefill, in the order of arrival, while an update is in transit: in a
 * large fleet a report is older than most prefills take, and an engine that is considered busy
 * until the next report would be idle.
 */
final class PrefillBacklog {
    private final List<Update> mUpdates = new ArrayList<>();

    /** Adds tokens that were not yet prefilled at a point in time. */
    void add(long tokens, long atMillis) {
        if (tokens > 0) {
            mUpdates.add(new Update(tokens, atMillis));
        }
    }

    /**
     * Returns the estimated number of tokens that are left.
     *
     * @param tokensPerMilli the engine's prefill speed in tokens per millisecond
     */
    long tokens(double tokensPerMilli, long nowMillis) {
        mUpdates.sort(Comparator.comparingLong(Update::atMillis));
        double remaining = 0;
        long atMillis = Long.MIN_VALUE;
        for (Update each : mUpdates) {
            remaining =
                    remaining == 0
                            ? 0
                            : tokensLeft(remaining, each.atMillis() - atMillis, tokensPerMilli);
            remaining += each.tokens();
            atMillis = each.atMillis();
        }
        remaining =
                remaining == 0 ? 0 : tokensLeft(remaining, nowMillis - atMillis, tokensPerMilli);
        return Math.round(remaining);
    }

    private static double tokensLeft(double tokens, long spanMillis, double tokensPerMilli) {
        return Math.max(0, tokens - tokensPerMilli * Math.max(0, spanMillis));
    }

    private record Update(long tokens, long atMillis) {}
}
