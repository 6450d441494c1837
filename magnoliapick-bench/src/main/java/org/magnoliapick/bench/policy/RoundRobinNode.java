package org.magnoliapick.bench.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.member.FleetView;
import org.magnoliapick.member.UpstreamMember;
import org.magnoliapick.share.AttemptOutcome;
import org.magnoliapick.share.QueuedRequest;
import org.magnoliapick.share.ShareAction;

/** Sends each request at once to the next upstream that serves its target. */
final class RoundRobinNode extends AbstractNode {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private List<UpstreamMember> mUpstreams = List.of();
    private final Map<String, Integer> mNextByTarget = new HashMap<>();

    @Override
    public List<ShareAction> submit(QueuedRequest request, long nowMillis) {
        List<UpstreamMember> fitting =
                mUpstreams.stream()
                        .filter(upstream -> upstream.targets().contains(request.target()))
                        .toList();
        for (int i = 0; i < fitting.size(); i++) {
            int next = mNextByTarget.merge(request.target(), 1, Integer::sum);
            UpstreamMember upstream = fitting.get(Math.floorMod(next, fitting.size()));
            if (upstream.state().takesNewWork() && !request.excluded().contains(upstream.id())) {
                return List.of(new ShareAction.Start(request.id(), upstream.id()));
            }
        }
        return List.of(
                new ShareAction.Refuse(request.id(), ErrorKind.NO_UPSTREAM, RETRY_AFTER_MILLIS));
    }

    @Override
    public List<ShareAction> cancel(RequestId request, long nowMillis) {
        return List.of();
    }

    @Override
    public List<ShareAction> finish(
            RequestId request, AttemptOutcome end, double usedUnits, long nowMillis) {
        return List.of();
    }

    @Override
    public List<ShareAction> viewChanged(FleetView view, long nowMillis) {
        mUpstreams = view.upstreams();
        return List.of();
    }
}
