package org.magnoliapick.member;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongFunction;

/** The state of the exchange of versioned updates on one subject with another instance. */
public final class UpdateExchange {
    /** The minimum time between two updates, in milliseconds. */
    private static final long PERIOD_MILLIS = 100;

    private long mSentMillis = Long.MIN_VALUE / 2;
    private long mReceivedVersion;

    /** The version to assume for an instance that reports none; empty if nothing is sent to it. */
    private final OptionalLong mUnreportedVersion;

    /** The version that the other instance reports as received; empty if it reports none. */
    private OptionalLong mKnownVersion;

    UpdateExchange(UpdateSubject subject) {
        mUnreportedVersion = subject.isKnownToAll() ? OptionalLong.of(0) : OptionalLong.empty();
        mKnownVersion = mUnreportedVersion;
    }

    /** Records the version of the instance that was received; 0 after its restart. */
    public void received(long version) {
        mReceivedVersion = version;
    }

    long receivedVersion() {
        return mReceivedVersion;
    }

    /**
     * Records the version of this instance that the other one reports as received.
     *
     * @param version the version; empty if it reports none
     */
    void known(Optional<Long> version) {
        mKnownVersion = version.map(OptionalLong::of).orElse(mUnreportedVersion);
    }

    /**
     * Returns the update to send and marks it as sent; empty if the other instance lacks nothing,
     * does not know the subject or was sent an update recently.
     *
     * @param updateFor returns the update for an instance that knows a version
     */
    public <T> Optional<T> toSend(LongFunction<Optional<T>> updateFor, long nowMillis) {
        if (mKnownVersion.isEmpty() || nowMillis - mSentMillis < PERIOD_MILLIS) {
            return Optional.empty();
        }
        Optional<T> update = updateFor.apply(mKnownVersion.getAsLong());
        if (update.isPresent()) {
            mSentMillis = nowMillis;
        }
        return update;
    }
}
