package org.magnoliapick.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.magnoliapick.lib.InstanceId;

/**
 * The queues of other instances: how many tokens wait there, and how much their least served
 * workspaces with waiting requests were served.
 */
final class PeerQueues {
    /**
     * Time for which a report counts, in milliseconds: a few report intervals, so that a lost
     * report does no harm.
     */
    private static final long TIMEOUT_MILLIS = 500;

    /**
     * Number of tokens by which a workspace may be served more than one that waits elsewhere: about
     * one large request.
     */
    private static final long MAX_LEAD_TOKENS = 16_000;

    private final Map<InstanceId, PeerQueue> mQueues = new HashMap<>();

    /**
     * Applies another instance's report.
     *
     * @param reportsChanges whether it reports each change to this instance at once, and not only
     *     periodically
     */
    void updatePeer(InstanceId instance, PoolUse use, boolean reportsChanges, long nowMillis) {
        OptionalLong leastServedTokens = use.leastServedTokens();
        if (leastServedTokens.isPresent()) {
            PeerQueue queue =
                    new PeerQueue(
                            leastServedTokens.getAsLong(),
                            use.waitingTokens(),
                            reportsChanges,
                            nowMillis);
            mQueues.put(instance, queue);
        } else {
            mQueues.remove(instance);
        }
    }

    /**
     * Returns the number of served tokens up to which a workspace may start further requests, since
     * beyond it the less served workspaces that wait at other instances go first; infinite if none
     * waits there.
     */
    double servedLimitTokens(long nowMillis) {
        return servedLimitTokens(false, nowMillis);
    }

    /**
     * Returns the same limit, but only by instances that report each change at once, so that no
     * outdated report counts.
     */
    double currentServedLimitTokens(long nowMillis) {
        return servedLimitTokens(true, nowMillis);
    }

    private double servedLimitTokens(boolean onlyReportsOfChanges, long nowMillis) {
        removeExpired(nowMillis);
        return mQueues.values().stream()
                .filter(queue -> queue.reportsChanges() || !onlyReportsOfChanges)
                .mapToDouble(queue -> queue.leastServedTokens() + MAX_LEAD_TOKENS)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    /** Returns the tokens of all requests that wait at other instances. */
    long waitingTokens(long nowMillis) {
        removeExpired(nowMillis);
        return mQueues.values().stream().mapToLong(PeerQueue::waitingTokens).sum();
    }

    private void removeExpired(long nowMillis) {
        mQueues.values().removeIf(queue -> nowMillis - queue.atMillis() > TIMEOUT_MILLIS);
    }

    /**
     * The last report of another instance's queue.
     *
     * @param leastServedTokens tokens that the least served workspace with waiting requests was
     *     served
     * @param waitingTokens prompt tokens of the waiting requests
     * @param reportsChanges whether the instance reports each change to this one at once, and not
     *     only periodically
     * @param atMillis when the report was received
     */
    private record PeerQueue(
            long leastServedTokens, long waitingTokens, boolean reportsChanges, long atMillis) {}
}
