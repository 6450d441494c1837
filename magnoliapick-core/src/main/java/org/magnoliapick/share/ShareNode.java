package org.magnoliapick.share;

import java.util.List;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.member.FleetView;

/**
 * One entry instance's part in sharing capacity: the queues of its own callers and, for the pools
 * that fall to it, the granting of slots. It is driven by one thread; each event returns the
 * actions to carry out, in order. Times are in milliseconds since the epoch.
 */
public interface ShareNode {
    /** Queues a request, or refuses it at once. */
    List<ShareAction> submit(QueuedRequest request, long nowMillis);

    /** Forgets a request that still waits; one that was started needs {@link #finish}. */
    List<ShareAction> cancel(RequestId request, long nowMillis);

    /** Takes note of the service units that a started request has used so far. */
    List<ShareAction> progress(RequestId request, double usedUnits, long nowMillis);

    /** Frees the slot of a started request and charges what it used, in service units. */
    List<ShareAction> finish(RequestId request, AttemptOutcome end, double usedUnits, long nowMillis);

    /** Takes a message of another instance. */
    List<ShareAction> receive(
            InstanceId from, long incarnation, ShareMessage message, long nowMillis);

    /** Takes a new view of the fleet. */
    List<ShareAction> viewChanged(FleetView view, long nowMillis);

    /** Takes a new configuration; one with a lower offset than the present one is ignored. */
    List<ShareAction> configChanged(FleetConfig config, long nowMillis);

    /** Takes a load report of an upstream. */
    List<ShareAction> loadReported(UpstreamId upstream, LoadReport report, long nowMillis);

    /** Takes the prefix blocks that an upstream says it holds or has evicted; only hints. */
    List<ShareAction> cacheChanged(
            UpstreamId upstream, List<Long> stored, List<Long> evicted, long nowMillis);

    /** Stops taking part in granting; waiting requests are served or refused as before. */
    List<ShareAction> leave(long nowMillis);

    /** Does what is due by time. To be called about every {@link #tickIntervalMillis} milliseconds. */
    List<ShareAction> tick(long nowMillis);

    /** Returns the wanted distance between two ticks, in milliseconds. */
    long tickIntervalMillis();
}
