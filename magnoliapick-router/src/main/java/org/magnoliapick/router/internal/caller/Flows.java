package org.magnoliapick.router.internal.caller;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import jakarta.ws.rs.container.AsyncResponse;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.router.LimitSettings;
import org.magnoliapick.router.internal.share.ShareSink;
import org.magnoliapick.share.ShareAction;

/** All requests in progress. */
@Singleton
public final class Flows implements ShareSink {
    private final FlowServices mServices;
    private final LimitSettings mLimits;
    private final Map<RequestId, RequestFlow> mFlows = new ConcurrentHashMap<>();

    @Inject
    Flows(FlowServices services, LimitSettings limits) {
        mServices = services;
        mLimits = limits;
    }

    /** Takes a request. */
    void begin(CallerRequest request, AsyncResponse response, long configOffset) {
        CallerAnswer answer =
                new CallerAnswer(response, mServices.writers(), mLimits.maxUnsent.toBytes());
        RequestFlow flow = new RequestFlow(request, answer, mServices, configOffset, this::forget);
        mFlows.put(request.id(), flow);
        flow.begin();
    }

    /** Returns the number of requests in progress. */
    public int size() {
        return mFlows.size();
    }

    /** Returns how many requests in progress a condition holds for. */
    public List<RequestFlow> inProgress() {
        return List.copyOf(mFlows.values());
    }

    @Override
    public void perform(List<ShareAction> actions) {
        actions.forEach(this::perform);
    }

    private void perform(ShareAction action) {
        if (action instanceof ShareAction.Start start) {
            start(start);
        } else if (action instanceof ShareAction.Refuse refuse) {
            ifPresent(
                    refuse.request(),
                    flow -> flow.refused(refuse.kind(), refuse.retryAfterMillis()));
        } else if (action instanceof ShareAction.Send send) {
            mServices.peers().send(send.to(), send.message());
        } else if (action instanceof ShareAction.RecordDecision note) {
            mServices.records().accept(note.decision());
        }
    }

    private void start(ShareAction.Start start) {
        RequestFlow flow = mFlows.get(start.request());
        if (flow == null) {
            mServices.releaseUnused(start.request());
        } else {
            flow.granted(start.upstream());
        }
    }

    private void ifPresent(RequestId id, Consumer<RequestFlow> action) {
        Optional.ofNullable(mFlows.get(id)).ifPresent(action);
    }

    private void forget(RequestId id) {
        mFlows.remove(id);
    }
}
