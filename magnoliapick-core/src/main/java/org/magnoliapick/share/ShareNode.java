package org.magnoliapick.share;

import java.util.List;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.member.FleetView;

/**
 * Shares capacity on behalf of one entry instance: queues the requests of its own callers and, for
 * pools in which the instance has the dispatcher role, grants slots to other instances. Must be
 * called from a single thread. Each event returns the actions to carry out, in order. Times are in
 * milliseconds since the epoch.
 */
public interface ShareNode {
    /** Queues a request or refuses it immediately. */
    List<ShareAction> submit(QueuedRequest request, long nowMillis);

    /** Removes a waiting request. A started request must be ended with {@link #finish}. */
    List<ShareAction> cancel(RequestId request, long nowMillis);

    /** Updates the service units that a started request has used so far. */
    List<ShareAction> progress(RequestId request, double usedUnits, long nowMillis);

    /** Frees the slot of a started request and charges its workspace for the units used. */
    List<ShareAction> finish(
            RequestId request, AttemptOutcome outcome, double usedUnits, long nowMillis);

    /** Handles a message from another instance. */
    List<ShareAction> receive(
            InstanceId from, long incarnation, ShareMessage message, long nowMillis);

    /** Applies a new view of the fleet. */
    List<ShareAction> viewChanged(FleetView view, long nowMillis);

    /** Applies a new configuration, unless its offset is lower than the current one. */
    List<ShareAction> configChanged(FleetConfig config, long nowMillis);

    /** Handles a load report of an upstream. */
    List<ShareAction> loadReported(UpstreamId upstream, LoadReport report, long nowMillis);

    /** Updates cache hints with the prefix blocks that an upstream reports stored or evicted. */
    List<ShareAction> cacheChanged(
            UpstreamId upstream, List<Long> stored, List<Long> evicted, long nowMillis);

    /** Gives up the dispatcher role. Waiting requests are still served or refused as before. */
    List<ShareAction> leave(long nowMillis);

    /** Performs due periodic work. Call it about every {@link #tickIntervalMillis}. */
    List<ShareAction> tick(long nowMillis);

    /** Returns the interval at which {@link #tick} should be called, in milliseconds. */
    long tickIntervalMillis();
}
