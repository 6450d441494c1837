package org.magnoliapick.member;

/** The state of the exchange of versioned updates on one subject with another instance. */
final class UpdateExchange {
    /** The minimum time between two updates, in milliseconds. */
    private static final long PERIOD_MILLIS = 100;

    private long mSentMillis = Long.MIN_VALUE / 2;
    private long mReceivedVersion;

    /** Returns whether the last update was sent long enough ago. */
    boolean mayBeSent(long nowMillis) {
        return nowMillis - mSentMillis >= PERIOD_MILLIS;
    }

    void sent(long nowMillis) {
        mSentMillis = nowMillis;
    }

    /** Records the version of the instance that was received; 0 after its restart. */
    void received(long version) {
        mReceivedVersion = version;
    }

    long receivedVersion() {
        return mReceivedVersion;
    }
}
