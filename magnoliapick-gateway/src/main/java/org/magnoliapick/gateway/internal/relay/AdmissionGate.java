package org.magnoliapick.gateway.internal.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.gateway.RequestHead;
import org.magnoliapick.gateway.internal.log.EventLog;
import org.magnoliapick.overload.AdmissionControl;
import org.magnoliapick.overload.LeastResponseTimes;
import org.magnoliapick.overload.OverloadReadiness;
import org.magnoliapick.overload.Rejection;
import org.magnoliapick.overload.RequestNeed;
import org.magnoliapick.route.Route;
import org.magnoliapick.route.TrafficConfig;

/**
 * Measures how long ready work waits on the event loop, and asks the admission control about each
 * request when its head was read. Until it is enabled, and after a fault of its own, it admits all
 * requests.
 */
public final class AdmissionGate {
    /** The error with which requests are rejected; it says that they did not run. */
    public static final ErrorKind ERROR = ErrorKind.INSTANCE_QUEUE_FULL;

    /**
     * The delay of a measuring task, in milliseconds: the shortest for which the loop looks at its
     * sockets before it runs the task.
     */
    private static final long TASK_DELAY_MILLIS = 1;

    /** The minimum time between two log lines on rejections, in milliseconds. */
    private static final long LOG_INTERVAL_MILLIS = 1_000;

    private final RelayContext mContext;
    private final AdmissionControl mControl = new AdmissionControl();
    private final LeastResponseTimes mLeastTimes = new LeastResponseTimes();
    private final OverloadReadiness mReadiness = new OverloadReadiness();
    private IntSupplier mInFlight = () -> 0;
    private boolean mEnabled;
    private boolean mFaulty;
    private boolean mReady = true;
    private long mLoggedMillis;
    private long mLoggedAdmitted;
    private long mLoggedStanding;
    private long mLoggedLate;

    AdmissionGate(RelayContext context) {
        mContext = context;
    }

    /** Sets whether requests may be rejected. */
    public void setEnabled(boolean enabled) {
        mEnabled = enabled;
        mReady |= !enabled;
    }

    /** Returns whether requests may be rejected. */
    public boolean isEnabled() {
        return mEnabled;
    }

    /** Sets the source of the number of requests in flight. */
    void setInFlight(IntSupplier inFlight) {
        mInFlight = inFlight;
    }

    /** Applies a version of the configuration. */
    void applyConfig(TrafficConfig config) {
        config.routes().all().stream()
                .mapToLong(Route::objectiveMillis)
                .min()
                .ifPresent(mControl::setShortestObjective);
    }

    /** Decides whether a request is rejected, when its head was read and nothing else was done. */
    public Optional<Rejection> decide(HttpRequest head, long nowMillis) {
        if (mFaulty) {
            return Optional.empty();
        }
        try {
            // Sends depend on the delay, too, so it is measured in any case.
            if (mControl.needsMeasurement()) {
                measure(nowMillis);
            }
            if (!mEnabled) {
                return Optional.empty();
            }
            Optional<Rejection> rejection =
                    mControl.decide(() -> readNeed(head), mInFlight.getAsInt(), nowMillis);
            if (rejection.isPresent()) {
                mContext.counters().countReceived();
                mContext.counters().countFailed(ERROR);
            }
            return rejection;
        } catch (RuntimeException e) {
            disable(e);
            return Optional.empty();
        }
    }

    private void disable(RuntimeException fault) {
        mFaulty = true;
        setEnabled(false);
        mContext.log().line("admission.fault").withFault(fault).log();
    }

    /**
     * Posts a task whose lateness is how long ready work waits. Tasks are posted only for requests
     * and while the loop is behind, so an idle instance is not woken.
     */
    private void measure(long nowMillis) {
        mContext.loop()
                .schedule(
                        () -> endMeasurement(nowMillis), TASK_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        mControl.beginMeasurement(nowMillis);
    }

    private void endMeasurement(long postedMillis) {
        try {
            long nowMillis = mContext.nowMillis();
            long delayMillis = Math.max(0, nowMillis - postedMillis - TASK_DELAY_MILLIS);
            if (mControl.endMeasurement(delayMillis, nowMillis)) {
                measure(nowMillis);
            }
        } catch (RuntimeException e) {
            disable(e);
        }
    }

    private Optional<RequestNeed> readNeed(HttpRequest head) {
        String host = head.headers().get(HttpHeaderNames.HOST, "");
        Optional<Route> route =
                mContext.config().flatMap(each -> each.routes().find(host, head.uri()));
        return route.map(
                each ->
                        new RequestNeed(
                                each.objectiveMillis(),
                                mContext.dialect()
                                        .readRequest(head)
                                        .map(RequestHead::remainingMillis)
                                        .orElse(OptionalLong.empty()),
                                mLeastTimes.leastMillis(each.name(), mContext.nowMillis())));
    }

    /** Records the time from sending a request to its first response, in milliseconds. */
    void recordResponse(String route, long tookMillis) {
        mLeastTimes.record(route, tookMillis, mContext.nowMillis());
    }

    /**
     * Returns whether the loop is so late that a caller may have disconnected without this instance
     * having read it.
     */
    boolean isBehind() {
        return !mFaulty && mControl.isBehind(mContext.nowMillis());
    }

    /** Returns whether the instance is ready as far as its load is concerned. */
    public boolean isReady() {
        return mReady;
    }

    /** Updates the readiness and logs the rejections of the last second. */
    public void tick(long nowMillis) {
        if (!mEnabled) {
            return;
        }
        boolean overloaded = mControl.isOverloaded(nowMillis);
        boolean ready = mReadiness.update(overloaded, nowMillis);
        if (ready != mReady) {
            mReady = ready;
            mContext.log()
                    .line("admission.readiness")
                    .with("ready", ready)
                    .with("overloaded", overloaded)
                    .log();
        }
        if (nowMillis - mLoggedMillis >= LOG_INTERVAL_MILLIS) {
            mLoggedMillis = nowMillis;
            logRejections(overloaded, nowMillis);
        }
    }

    private void logRejections(boolean overloaded, long nowMillis) {
        long admitted = mControl.admittedCount();
        long standing = mControl.rejectedCount(Rejection.Cause.STANDING_DELAY);
        long late = mControl.rejectedCount(Rejection.Cause.TOO_LATE);
        if (standing + late > mLoggedStanding + mLoggedLate) {
            EventLog.Line line = mContext.log().line("admission.rejected");
            line.with(Rejection.Cause.STANDING_DELAY.logName(), standing - mLoggedStanding)
                    .with(Rejection.Cause.TOO_LATE.logName(), late - mLoggedLate)
                    .with("admitted", admitted - mLoggedAdmitted)
                    .with("delayMillis", mControl.delayMillis(nowMillis))
                    .with("inFlight", mInFlight.getAsInt())
                    .with("overloaded", overloaded)
                    .log();
        }
        mLoggedAdmitted = admitted;
        mLoggedStanding = standing;
        mLoggedLate = late;
    }

    /** Appends the metrics as text. */
    public void writeMetrics(StringBuilder text) {
        long nowMillis = mContext.nowMillis();
        for (Rejection.Cause cause : Rejection.Cause.values()) {
            RelayCounters.appendMetric(
                    text,
                    "magnoliapick_admission_rejected_total{cause=\"" + cause.logName() + "\"}",
                    mControl.rejectedCount(cause));
        }
        RelayCounters.appendMetric(
                text, "magnoliapick_loop_delay_milliseconds", mControl.delayMillis(nowMillis));
        RelayCounters.appendMetric(
                text,
                "magnoliapick_instance_overloaded",
                mEnabled && mControl.isOverloaded(nowMillis) ? 1 : 0);
    }
}
