package org.magnoliapick.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;

/** An engine of a fleet in virtual time. */
final class FakeEngine {
    private final ListedUpstream mUpstream;
    private final List<FakeFleet.Request> mRequests = new ArrayList<>();
    private final List<Long> mArrivalMillis = new ArrayList<>();
    private OptionalDouble mRateLimit = OptionalDouble.empty();
    private boolean mRunning = true;

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
        mArrivalMillis.add(nowMillis);
    }

    /** Returns when requests arrived. */
    List<Long> arrivalMillis() {
        return mArrivalMillis;
    }

    /** Makes it name a rate limit in each response, or none. */
    void limitRate(OptionalDouble perSecond) {
        mRateLimit = perSecond;
    }

    OptionalDouble rateLimit() {
        return mRateLimit;
    }

    boolean isRunning() {
        return mRunning;
    }

    void stop() {
        mRunning = false;
    }
}
