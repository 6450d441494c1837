package org.magnoliapick.member;

/** Measures how long a member has been missing from the lists that could be read. */
final class Absence {
    private static final long PRESENT = -1;

    private long mSinceMillis = PRESENT;

    void update(boolean missing, long nowMillis) {
        if (!missing) {
            mSinceMillis = PRESENT;
        } else if (mSinceMillis == PRESENT) {
            mSinceMillis = nowMillis;
        }
    }

    /** Excludes the duration of a list outage from the absence. */
    void excludeOutage(long millis) {
        if (mSinceMillis != PRESENT) {
            mSinceMillis += millis;
        }
    }

    boolean longerThan(long millis, long nowMillis) {
        return mSinceMillis != PRESENT && nowMillis - mSinceMillis > millis;
    }
}
