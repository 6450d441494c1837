package org.magnoliapick.pool;

import java.util.Collection;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import org.magnoliapick.lib.WorkspaceId;

/** Formats the estimated state of a pool for log lines. */
final class PoolLogFormat {
    /** Maximum number of workspaces in one log line. */
    private static final int MAX_WORKSPACES = 12;

    private PoolLogFormat() {}

    /**
     * Returns for each upstream the running requests, the tokens left to prefill and the prefill
     * speed in tokens per millisecond.
     */
    static String load(Collection<UpstreamLoad> loads, long nowMillis) {
        return loads.stream()
                .map(
                        each ->
                                String.format(
                                        Locale.ROOT,
                                        "%s:%d/%d/%d",
                                        each.upstream().id(),
                                        each.running(nowMillis),
                                        each.prefillTokens(nowMillis),
                                        Math.round(each.tokensPerMilli(nowMillis))))
                .collect(Collectors.joining(" "));
    }

    /**
     * Returns the number of engines that prefill long prompts, and how many requests with long and
     * with short prompts wait.
     */
    static String classes(int longPrefills, int waitingLong, int waitingShort) {
        return String.format(
                Locale.ROOT,
                "longPrefills:%d waitingLong:%d waitingShort:%d ",
                longPrefills,
                waitingLong,
                waitingShort);
    }

    /**
     * Returns for the workspaces with the most waiting requests the number of these and the tokens
     * that the workspace was served.
     */
    static String shares(WaitingJobs waiting, ServedTokens served, long nowMillis) {
        return waiting.countByWorkspace().entrySet().stream()
                .sorted(Map.Entry.<WorkspaceId, Integer>comparingByValue().reversed())
                .limit(MAX_WORKSPACES)
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
