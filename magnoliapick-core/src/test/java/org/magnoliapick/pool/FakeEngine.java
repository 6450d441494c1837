package org.magnoliapick.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.IntPredicate;

/** An engine of a fleet in virtual time. */
final class FakeEngine {
    private final ListedUpstream mUpstream;
    private final List<FakeFleet.Request> mRequests = new ArrayList<>();
    private final List<Arrival> mArrivals = new ArrayList<>();
    private final Map<Integer, Long> mStatedMillis = new HashMap<>();
    private OptionalDouble mRateLimit = OptionalDouble.empty();
    private boolean mRunning = true;
    private boolean mLeaving;
    private final List<Pause> mPauses = new ArrayList<>();
    private IntPredicate mRefused = instance -> false;
    private long mRefusesFromMillis;
    private long mRefusesUntilMillis;
    private long mPauseMillis;
    private long mColdEndMillis = Long.MIN_VALUE;

    FakeEngine(ListedUpstream upstream) {
        mUpstream = upstream;
    }

    ListedUpstream upstream() {
        return mUpstream;
    }

    /** Returns the requests in flight. */
    List<FakeFleet.Request> requests() {
        return mRequests;
    }

    void arrive(FakeFleet.Request request, long nowMillis) {
        mRequests.add(request);
        mArrivals.add(new Arrival(request, nowMillis));
    }

    /** Returns when requests arrived. */
    List<Long> arrivalMillis() {
        return mArrivals.stream().map(Arrival::atMillis).toList();
    }

    /** Returns the requests that arrived. */
    List<Arrival> arrivals() {
        return mArrivals;
    }

    /** The arrival of a request. */
    record Arrival(FakeFleet.Request request, long atMillis) {}

    /** Makes it name a rate limit in each response, or none. */
    void limitRate(OptionalDouble perSecond) {
        mRateLimit = perSecond;
    }

    OptionalDouble rateLimit() {
        return mRateLimit;
    }

    /** Makes it cold, which its responses state, until a time. */
    void setCold(long endMillis) {
        mColdEndMillis = endMillis;
    }

    /** Returns how much longer it is cold, in milliseconds; 0 if it is not. */
    long coldLeftMillis(long nowMillis) {
        return Math.max(0, mColdEndMillis - nowMillis);
    }

    /** Makes it state in each response that it is leaving. */
    void leave() {
        mLeaving = true;
    }

    /** Records that an instance receives the head of a response. */
    void respond(int instance, long nowMillis) {
        if (mLeaving) {
            mStatedMillis.putIfAbsent(instance, nowMillis);
        }
    }

    /** Returns when each instance received the first statement that it is leaving. */
    Map<Integer, Long> statedMillis() {
        return mStatedMillis;
    }

    boolean isLeaving() {
        return mLeaving;
    }

    /** Makes it refuse the requests of some instances for a time, with a pause for each. */
    void refuse(IntPredicate instances, long fromMillis, long untilMillis, long pauseMillis) {
        mRefused = instances;
        mRefusesFromMillis = fromMillis;
        mRefusesUntilMillis = untilMillis;
        mPauseMillis = pauseMillis;
    }

    boolean refuses(int instance, long nowMillis) {
        return mRefused.test(instance)
                && nowMillis >= mRefusesFromMillis
                && nowMillis < mRefusesUntilMillis;
    }

    /** Records that the refusal of a request is received; returns the pause that it asks for. */
    long refuse(FakeFleet.Request request, long nowMillis) {
        mRequests.remove(request);
        mPauses.add(new Pause(request.instance(), nowMillis, nowMillis + mPauseMillis));
        return mPauseMillis;
    }

    /** Returns the pauses that it asked for. */
    List<Pause> pauses() {
        return mPauses;
    }

    /** A pause for an instance, from when it received the refusal. */
    record Pause(int instance, long fromMillis, long untilMillis) {}

    boolean isRunning() {
        return mRunning;
    }

    void stop() {
        mRunning = false;
    }
}
