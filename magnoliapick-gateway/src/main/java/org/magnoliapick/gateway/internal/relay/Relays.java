package org.magnoliapick.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.gateway.CallHead;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.pool.PoolAction;
import org.magnoliapick.pool.PoolJob;
import org.magnoliapick.relay.CallerWaitEstimate;
import org.magnoliapick.relay.RelayRequest;
import org.magnoliapick.relay.StopPlan;
import org.magnoliapick.route.Route;
import org.magnoliapick.route.TrafficConfig;
import org.magnoliapick.route.WorkspaceSpec;

/** Takes requests from callers and keeps those that are under way. */
public final class Relays {
    /** What a caller is told to wait where this instance knows no configuration yet. */
    private static final long UNREADY_WAIT_MILLIS = 500;

    /**
     * Numbers that a millisecond holds, so that numbers of a new life are higher than all before.
     */
    private static final long QUESTIONS_PER_MILLI = 16;

    private final RelayContext mContext;
    private final Map<Long, Relay> mByJob = new HashMap<>();
    private final List<Relay> mUnderWay = new ArrayList<>();
    private final CallerWaitEstimate mPatience = new CallerWaitEstimate();
    private Pools mPools;
    private long mLastNumber;
    private Optional<StopPlan> mStopPlan = Optional.empty();

    /** Creates an empty set. */
    public Relays(RelayContext context) {
        mContext = context;
    }

    /** Sets the pools, which in turn report their decisions here. */
    public void setPools(Pools pools) {
        mPools = pools;
    }

    /** Carries out what a pool decided. */
    public void execute(PoolAction action) {
        Relay relay = mByJob.remove(action.job().queryId());
        if (relay == null) {
            throw new IllegalStateException("No request for " + action);
        }
        if (action instanceof PoolAction.Start start) {
            relay.start(start);
        } else if (action instanceof PoolAction.Refuse refuse) {
            relay.refused(refuse);
        }
    }

    /** Takes requests from now on only as far as the plan of a stop allows. */
    public void setStopPlan(StopPlan plan) {
        mStopPlan = Optional.of(plan);
    }

    /** Returns how many requests are under way. */
    public int inFlight() {
        return mUnderWay.size();
    }

    /**
     * Takes a whole request; the answer may come before this returns.
     *
     * @param body the body, which is taken over
     */
    public Relay accept(HttpRequest head, ByteBuf body, CallerResponse answer, long arrivedMillis) {
        mContext.counters().received();
        Relay relay = new Relay(mContext, mPools, this, head, body, answer);
        mUnderWay.add(relay);
        Optional<CallHead> call = mContext.dialect().readCall(head);
        Optional<TrafficConfig> config = mContext.config();
        if (call.isEmpty()) {
            relay.refuse(ErrorKind.BAD_REQUEST, OptionalLong.empty());
        } else if (config.isEmpty() || !takesRequests()) {
            relay.refuse(ErrorKind.NOT_READY, OptionalLong.of(UNREADY_WAIT_MILLIS));
        } else {
            route(relay, head, call.get(), config.get(), arrivedMillis);
        }
        return relay;
    }

    private boolean takesRequests() {
        return mStopPlan.isEmpty() || mStopPlan.get().acceptsRequests(mContext.nowMillis());
    }

    private void route(
            Relay relay,
            HttpRequest head,
            CallHead call,
            TrafficConfig config,
            long arrivedMillis) {
        String host = head.headers().get(HttpHeaderNames.HOST, "");
        Optional<Route> route = config.routes().find(host, head.uri());
        Optional<String> service = route.flatMap(each -> each.serviceFor(call.id()));
        if (service.isEmpty()) {
            relay.refuse(ErrorKind.NOT_FOUND, OptionalLong.empty());
            return;
        }
        Optional<WorkspaceSpec> workspace = call.key().flatMap(config::workspaceOf);
        boolean asksForKey = config.requiresKeys() && !route.get().isPublic();
        if (asksForKey && workspace.isEmpty()) {
            relay.refuse(ErrorKind.UNAUTHENTICATED, OptionalLong.empty());
            return;
        }
        Optional<WorkspaceId> id = asksForKey ? workspace.map(WorkspaceSpec::id) : Optional.empty();
        long timeoutMillis = route.get().timeoutMillis();
        RelayRequest request =
                new RelayRequest(
                        call.id(),
                        route.get(),
                        service.get(),
                        id,
                        call.prompt(),
                        call.resumeAfter(),
                        arrivedMillis,
                        arrivedMillis
                                - mPatience.elapsedMillis(route.get().name(), call.leftMillis()),
                        arrivedMillis + call.leftMillis().orElse(timeoutMillis),
                        config.version());
        mContext.budget().countRequest(service.get(), mContext.nowMillis());
        int rank = workspace.map(WorkspaceSpec::priority).orElse(0) * 100 + route.get().priority();
        relay.admit(request, rank);
    }

    /** Lets time pass: looks for streams that have gone silent. */
    public void tick(long nowMillis) {
        for (Relay relay : List.copyOf(mUnderWay)) {
            relay.tick(nowMillis);
        }
    }

    /** Returns a number for a question that no other question of this instance had. */
    long nextNumber() {
        mLastNumber = Math.max(mLastNumber + 1, mContext.nowMillis() * QUESTIONS_PER_MILLI);
        return mLastNumber;
    }

    void waiting(PoolJob job, Relay relay) {
        mByJob.put(job.queryId(), relay);
    }

    void withdrawn(PoolJob job) {
        if (mByJob.remove(job.queryId()) != null) {
            mPools.withdraw(job);
        }
    }

    void ended(Relay relay) {
        mUnderWay.remove(relay);
    }
}
