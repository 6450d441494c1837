package org.magnoliapick.pool;

import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;

/** Puts what a pool believes into the few words of a log line. */
final class PoolLogFormat {
    /** The most workspaces that are described in one line of a log. */
    private static final int MOST_DESCRIBED = 12;

    private PoolLogFormat() {}

    /** Returns for each upstream requests running, tokens to read and tokens read in a ms. */
    static String load(Map<UpstreamId, UpstreamLoad> loads, long nowMillis) {
        return loads.entrySet().stream()
                .map(
                        each ->
                                String.format(
                                        Locale.ROOT,
                                        "%s:%d/%d/%d",
                                        each.getKey(),
                                        each.getValue().running(nowMillis),
                                        each.getValue().readingTokens(nowMillis),
                                        Math.round(each.getValue().tokensPerMilli(nowMillis))))
                .collect(Collectors.joining(" "));
    }

    /** Returns for each workspace that waits its waiting requests and the tokens it was served. */
    static String shares(WaitingJobs waiting, ServedTokens served, long nowMillis) {
        return waiting.countByWorkspace().entrySet().stream()
                .sorted(Map.Entry.<WorkspaceId, Integer>comparingByValue().reversed())
                .limit(MOST_DESCRIBED)
                .map(
                        each ->
                                String.format(
                                        Locale.ROOT,
                                        "%s:%d/%.0f",
                                        each.getKey(),
                                        each.getValue(),
                                        served.of(each.getKey(), nowMillis)))
                .collect(Collectors.joining(" "));
    }
}
