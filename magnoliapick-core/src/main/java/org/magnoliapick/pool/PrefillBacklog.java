package org.magnoliapick.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * What an engine still has to read, from news of different ages. It reads on while the news
 * travels, in the order in which it was given work: in a large fleet a report is older than the
 * reading of most prompts takes, and an engine that is taken for busy until the next report stands
 * idle.
 */
final class PrefillBacklog {
    private final List<Update> mNews = new ArrayList<>();

    /** Adds tokens that were not read at a time. */
    void add(long tokens, long atMillis) {
        if (tokens > 0) {
            mNews.add(new Update(tokens, atMillis));
        }
    }

    /**
     * Returns the tokens that are left.
     *
     * @param tokensPerMilli how many tokens the engine reads in a millisecond
     */
    long tokens(double tokensPerMilli, long nowMillis) {
        mNews.sort(Comparator.comparingLong(Update::atMillis));
        double left = 0;
        long atMillis = Long.MIN_VALUE;
        for (Update each : mNews) {
            left = left == 0 ? 0 : read(left, each.atMillis() - atMillis, tokensPerMilli);
            left += each.tokens();
            atMillis = each.atMillis();
        }
        left = left == 0 ? 0 : read(left, nowMillis - atMillis, tokensPerMilli);
        return Math.round(left);
    }

    private static double read(double tokens, long spanMillis, double tokensPerMilli) {
        return Math.max(0, tokens - tokensPerMilli * Math.max(0, spanMillis));
    }

    private record Update(long tokens, long atMillis) {}
}
