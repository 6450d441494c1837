package org.magnoliapick.internal.share;

import java.util.List;
import java.util.Optional;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.member.FleetView;
import org.magnoliapick.record.Cause;
import org.magnoliapick.share.AttemptOutcome;
import org.magnoliapick.share.ShareAction;
import org.magnoliapick.share.ShareMessage;
import org.magnoliapick.share.ShareSettings;

/**
 * Weighted fair queueing in each instance on its own, over a fixed share of each upstream's slots.
 * Instances exchange no messages.
 */
public final class StaticSplitNode extends BaseShareNode {
    private final StaticShare mShare;

    /** Creates the sharing part of one entry instance. */
    public StaticSplitNode(ShareSettings settings) {
        super(settings);
        mShare = new StaticShare(upstreams(), settings.domain());
    }

    @Override
    public List<ShareAction> viewChanged(FleetView view, long nowMillis) {
        mShare.setView(view);
        return super.viewChanged(view, nowMillis);
    }

    @Override
    public List<ShareAction> receive(
            InstanceId from, long incarnation, ShareMessage message, long nowMillis) {
        return List.of();
    }

    @Override
    public List<ShareAction> leave(long nowMillis) {
        return List.of();
    }

    @Override
    void startWaiting(String target, long nowMillis) {
        Optional<LocalScheduler.Choice> choice = scheduler().next(target, mShare.at(nowMillis));
        while (choice.isPresent()) {
            Upstream upstream = choice.get().upstream();
            start(choice.get().waiting(), upstream, Cause.LEAST_LOADED, nowMillis);
            choice = scheduler().next(target, mShare.at(nowMillis));
        }
    }

    @Override
    void queueChanged(String target, WorkspaceId workspace, long nowMillis) {}

    @Override
    void started(RunningRequest running, long nowMillis) {}

    @Override
    void used(RunningRequest running, double increase, double remainingBefore, long nowMillis) {}

    @Override
    void ended(RunningRequest running, AttemptOutcome end, long nowMillis) {}

    @Override
    void ticked(long nowMillis) {}

    @Override
    void flush(long nowMillis) {}
}
