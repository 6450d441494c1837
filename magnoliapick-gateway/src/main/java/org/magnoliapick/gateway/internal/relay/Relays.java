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
import java.util.function.BooleanSupplier;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.gateway.RequestHead;
import org.magnoliapick.gateway.internal.log.EventLog;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.limit.RateLimitChange;
import org.magnoliapick.pool.PoolAction;
import org.magnoliapick.pool.PoolJob;
import org.magnoliapick.relay.CallerWaitEstimate;
import org.magnoliapick.relay.RelayRequest;
import org.magnoliapick.relay.StopPlan;
import org.magnoliapick.request.AttemptEnd;
import org.magnoliapick.route.Route;
import org.magnoliapick.route.TrafficConfig;
import org.magnoliapick.route.WorkspaceSpec;

/** Accepts requests from callers, checks and routes them, and tracks those in flight. */
public final class Relays {
    /**
     * Retry-after delay, in milliseconds, for requests rejected because this instance has no
     * configuration yet or is stopping.
     */
    static final long NOT_READY_RETRY_AFTER_MILLIS = 500;

    /**
     * Query numbers reserved per millisecond. Numbers follow the clock, so that those of a new
     * incarnation are higher than all earlier ones.
     */
    private static final long QUERY_NUMBERS_PER_MILLI = 16;

    private final RelayContext mContext;
    private final Map<Long, Relay> mPendingByNumber = new HashMap<>();
    private final List<Relay> mInFlight = new ArrayList<>();
    private final CallerWaitEstimate mCallerWaitEstimate = new CallerWaitEstimate();
    private Pools mPools;
    private QuarantineMonitor mQuarantineMonitor;
    private UpstreamStatements mStatements;
    private long mLastQueryNumber;
    private Optional<StopPlan> mStopPlan = Optional.empty();
    private BooleanSupplier mStartingBehind = () -> false;

    /** Creates an empty set; {@link #setPools} has to be called before the first request. */
    public Relays(RelayContext context) {
        mContext = context;
        context.admission().setInFlight(this::inFlight);
    }

    /** Sets the pools, whose decisions are passed to {@link #execute}. */
    public void setPools(Pools pools) {
        mPools = pools;
        mQuarantineMonitor = new QuarantineMonitor(mContext, pools);
        mStatements = new UpstreamStatements(mContext, pools);
    }

    /**
     * Executes a pool's decision on a waiting request. Never throws, because other decisions may
     * follow.
     */
    public void execute(PoolAction action) {
        Relay relay = mPendingByNumber.remove(action.job().queryId());
        if (relay == null) {
            mContext.log()
                    .line("pool.action-unmatched")
                    .with("request", action.job().id())
                    .with("action", action)
                    .log();
            releaseUnmatched(action);
            return;
        }
        if (action instanceof PoolAction.Start start) {
            relay.guard().run(() -> relay.startAttempt(start));
        } else if (action instanceof PoolAction.Refuse refuse) {
            relay.guard().run(() -> relay.poolRefused(refuse));
        }
    }

    private void releaseUnmatched(PoolAction action) {
        if (action instanceof PoolAction.Start start) {
            mPools.attemptEnded(
                    start.job(),
                    start.ticket(),
                    Optional.of(AttemptEnd.CANCELLED),
                    mContext.nowMillis());
        }
    }

    /** Sets the check whether this instance still waits for a later configuration. */
    public void setStartingBehind(BooleanSupplier startingBehind) {
        mStartingBehind = startingBehind;
    }

    /** Sets the stop plan, which from now on limits whether new requests are accepted. */
    public void setStopPlan(StopPlan plan) {
        mStopPlan = Optional.of(plan);
    }

    /** Returns the number of requests in flight. */
    public int inFlight() {
        return mInFlight.size();
    }

    /**
     * Starts relaying a complete request. The response may be sent before this method returns. A
     * fault in it ends the request with an error response.
     *
     * @param body the body; ownership passes to the relay
     * @param arrivedMillis when the request head arrived
     */
    public Relay accept(
            HttpRequest head, ByteBuf body, CallerResponse response, long arrivedMillis) {
        mContext.counters().countReceived();
        Relay relay = new Relay(mContext, mPools, this, head, body, response);
        mInFlight.add(relay);
        relay.guard().run(() -> admitOrReject(relay, head, body, arrivedMillis));
        return relay;
    }

    private void admitOrReject(Relay relay, HttpRequest head, ByteBuf body, long arrivedMillis) {
        Optional<RequestHead> parsedHead = mContext.dialect().readRequest(head);
        Optional<TrafficConfig> config = mContext.config();
        if (parsedHead.isEmpty()) {
            relay.reject(ErrorKind.BAD_REQUEST, OptionalLong.empty());
        } else if (config.isEmpty() || !acceptsRequests()) {
            relay.reject(ErrorKind.NOT_READY, OptionalLong.of(NOT_READY_RETRY_AFTER_MILLIS));
        } else {
            routeRequest(relay, head, body, parsedHead.get(), config.get(), arrivedMillis);
        }
    }

    private boolean acceptsRequests() {
        return !mStartingBehind.getAsBoolean()
                && (mStopPlan.isEmpty() || mStopPlan.get().acceptsRequests(mContext.nowMillis()));
    }

    /** Returns whether a request of a route may be sent to an upstream now. */
    boolean maySend(Route route, long nowMillis) {
        return mStopPlan.isEmpty() || mStopPlan.get().maySend(route, nowMillis);
    }

    private void routeRequest(
            Relay relay,
            HttpRequest head,
            ByteBuf body,
            RequestHead parsedHead,
            TrafficConfig config,
            long arrivedMillis) {
        String host = head.headers().get(HttpHeaderNames.HOST, "");
        Optional<Route> route = config.routes().find(host, head.uri());
        Optional<String> service = route.flatMap(each -> each.serviceFor(parsedHead.id()));
        if (service.isEmpty()) {
            relay.reject(ErrorKind.NOT_FOUND, OptionalLong.empty());
            return;
        }
        Optional<WorkspaceSpec> workspace = parsedHead.apiKey().flatMap(config::workspaceOf);
        boolean requiresKey = config.requiresKeys() && !route.get().isPublic();
        if (requiresKey && workspace.isEmpty()) {
            relay.reject(ErrorKind.UNAUTHENTICATED, OptionalLong.empty());
            return;
        }
        Optional<WorkspaceId> id =
                requiresKey ? workspace.map(WorkspaceSpec::id) : Optional.empty();
        long timeoutMillis = route.get().timeoutMillis();
        RelayRequest request =
                new RelayRequest(
                        parsedHead.id(),
                        route.get(),
                        service.get(),
                        id,
                        parsedHead.prompt(),
                        RequestHash.of(head, id, parsedHead.prompt(), body),
                        parsedHead.resumeAfter(),
                        arrivedMillis,
                        arrivedMillis
                                - mCallerWaitEstimate.elapsedMillis(
                                        route.get().name(), parsedHead.remainingMillis()),
                        arrivedMillis + parsedHead.remainingMillis().orElse(timeoutMillis),
                        config.version());
        mContext.budget().countRequest(service.get(), mContext.nowMillis());
        // The workspace's priority is compared first, as long as route priorities are below 100.
        int rank = workspace.map(WorkspaceSpec::priority).orElse(0) * 100 + route.get().priority();
        relay.admit(request, rank);
    }

    /** Ends the requests in flight, because the gateway stops now. */
    public void endAll() {
        for (Relay relay : List.copyOf(mInFlight)) {
            relay.guard().run(() -> relay.endUnanswered("stop"));
        }
    }

    /** Checks the streams in flight for stalls. */
    public void tick(long nowMillis) {
        for (Relay relay : List.copyOf(mInFlight)) {
            relay.guard().run(() -> relay.tick(nowMillis));
        }
    }

    /**
     * Logs what changed in the quarantine of prompt parts. If a quarantine has begun, the requests
     * that it applies to are cancelled at upstreams that have not begun to answer them.
     */
    public void quarantineTick(long nowMillis) {
        if (mQuarantineMonitor.tick(nowMillis)) {
            for (Relay relay : List.copyOf(mInFlight)) {
                relay.guard().run(() -> relay.cancelIfQuarantined(nowMillis));
            }
        }
    }

    /** Forgets old rate limits of upstreams and logs what changed in them. */
    public void rateLimitTick(long nowMillis) {
        mContext.rateLimits().tick(nowMillis);
        List<RateLimitChange> changes = mContext.rateLimits().takeChanges();
        if (!changes.isEmpty()) {
            mPools.rateLimitChanged();
        }
        for (RateLimitChange change : changes) {
            EventLog.Line line =
                    mContext.log()
                            .line(change.logName())
                            .with("upstream", change.limit().upstream())
                            .with("startedMillis", change.limit().startedMillis());
            change.limit().perSecond().ifPresent(each -> line.with("perSecond", each));
            change.beforePerSecond().ifPresent(each -> line.with("beforePerSecond", each));
            line.with("evidence", change.evidence())
                    .with("ageMillis", nowMillis - change.limit().seenMillis())
                    .log();
        }
    }

    /** Returns what decides which requests are rejected while this instance is overloaded. */
    public AdmissionGate admission() {
        return mContext.admission();
    }

    /** Returns what upstreams stated about themselves in responses. */
    public UpstreamStatements statements() {
        return mStatements;
    }

    QuarantineMonitor quarantineMonitor() {
        return mQuarantineMonitor;
    }

    /**
     * Returns a number for a query to the dispatcher, unique among all queries of this instance.
     */
    long nextQueryNumber() {
        mLastQueryNumber =
                Math.max(mLastQueryNumber + 1, mContext.nowMillis() * QUERY_NUMBERS_PER_MILLI);
        return mLastQueryNumber;
    }

    void addPending(PoolJob job, Relay relay) {
        mPendingByNumber.put(job.queryId(), relay);
    }

    void withdraw(PoolJob job) {
        if (mPendingByNumber.remove(job.queryId()) != null) {
            mPools.withdraw(job);
        }
    }

    void remove(Relay relay) {
        mInFlight.remove(relay);
    }
}
