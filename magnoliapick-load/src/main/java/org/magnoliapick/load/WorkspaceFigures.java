package org.magnoliapick.load;

import java.util.Map;

/**
 * The figures of one workspace.
 *
 * @param workspace its name
 * @param requests requests that ended
 * @param whole whole answers
 * @param notRun refused and not run, after all retries
 * @param failed ended as failed
 * @param unknown ended as unknown
 * @param lost without an answer, or answered as whole without having run
 * @param doubled requests that must run once and ran more often
 * @param crossed answers of other requests
 * @param falseRefusals refused as not run, and ran
 * @param retries sent again after an answer that allows it
 * @param refusals answers that were not whole, by error kind, retried ones included
 * @param tokens tokens received
 * @param heldMillis worker milliseconds received
 * @param normalisedTokens tokens divided by the share at the time
 * @param normalisedHeldMillis worker milliseconds divided by the share at the time
 * @param gapTokens normalised tokens above the team's backlogged workspace with the least
 * @param p50Millis median time of whole answers, retries included
 * @param p95Millis 95th percentile of it
 * @param p99Millis 99th percentile of it
 * @param firstTokenP95Millis 95th percentile of the time to the first byte of streams
 */
public record WorkspaceFigures(
        String workspace,
        long requests,
        long whole,
        long notRun,
        long failed,
        long unknown,
        long lost,
        long doubled,
        long crossed,
        long falseRefusals,
        long retries,
        Map<String, Long> refusals,
        long tokens,
        long heldMillis,
        double normalisedTokens,
        double normalisedHeldMillis,
        double gapTokens,
        double p50Millis,
        double p95Millis,
        double p99Millis,
        double firstTokenP95Millis) {
    /** Returns whether nothing was lost, doubled, crossed or falsely refused. */
    public boolean isClean() {
        return lost + doubled + crossed + falseRefusals == 0;
    }
}
