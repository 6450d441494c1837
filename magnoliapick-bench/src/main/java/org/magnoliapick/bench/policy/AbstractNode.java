package org.magnoliapick.bench.policy;

import java.util.List;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.member.FleetView;
import org.magnoliapick.share.LoadReport;
import org.magnoliapick.share.ShareAction;
import org.magnoliapick.share.ShareMessage;
import org.magnoliapick.share.ShareNode;

/** A node that does nothing about the events that a baseline does not look at. */
abstract class AbstractNode implements ShareNode {
    private static final long TICK_MILLIS = 100;

    @Override
    public List<ShareAction> progress(RequestId request, double usedUnits, long nowMillis) {
        return List.of();
    }

    @Override
    public List<ShareAction> receive(
            InstanceId from, long incarnation, ShareMessage message, long nowMillis) {
        return List.of();
    }

    @Override
    public List<ShareAction> viewChanged(FleetView view, long nowMillis) {
        return List.of();
    }

    @Override
    public List<ShareAction> configChanged(FleetConfig config, long nowMillis) {
        return List.of();
    }

    @Override
    public List<ShareAction> loadReported(UpstreamId upstream, LoadReport report, long nowMillis) {
        return List.of();
    }

    @Override
    public List<ShareAction> cacheChanged(
            UpstreamId upstream, List<Long> stored, List<Long> evicted, long nowMillis) {
        return List.of();
    }

    @Override
    public List<ShareAction> leave(long nowMillis) {
        return List.of();
    }

    @Override
    public List<ShareAction> tick(long nowMillis) {
        return List.of();
    }

    @Override
    public long tickIntervalMillis() {
        return TICK_MILLIS;
    }
}
