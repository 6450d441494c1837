package org.magnoliapick.member;

import java.util.Optional;
import java.util.function.LongFunction;

/** The state of the exchange of versioned updates on one subject with another instance. */
public final class UpdateExchange {
    /** The minimum time between two updates, in milliseconds. */
    private static final long PERIOD_MILLIS = 100;

    private long mSentMillis = Long.MIN_VALUE / 2;
    private long mReceivedVersion;
    private long mKnownVersion;

    UpdateExchange() {}

    /** Records the version of the instance that was received; 0 after its restart. */
    public void received(long version) {
        mReceivedVersion = version;
    }

    long receivedVersion() {
        return mReceivedVersion;
    }

    /** Records the version of this instance that the other one reports as received. */
    void known(long version) {
        mKnownVersion = version;
    }

    /**
     * Returns the update to send and marks it as sent; empty if the other instance lacks nothing or
     * was sent an update recently.
     *
     * @param updateFor returns the update for an instance that knows a version
     */
    public <T> Optional<T> toSend(LongFunction<Optional<T>> updateFor, long nowMillis) {
        if (nowMillis - mSentMillis < PERIOD_MILLIS) {
            return Optional.empty();
        }
        Optional<T> update = updateFor.apply(mKnownVersion);
        if (update.isPresent()) {
            mSentMillis = nowMillis;
        }
        return update;
    }
}
