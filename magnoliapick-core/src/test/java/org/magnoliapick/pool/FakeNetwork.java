package org.magnoliapick.pool;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** The network between the instances of a fleet in virtual time. */
final class FakeNetwork {
    static final long MESSAGE_MILLIS = 1;

    /** The maximum additional delay of a message if it is unreliable, in milliseconds. */
    private static final int MAX_EXTRA_MILLIS = 30;

    private final VirtualTime mTime;
    private final Random mRandom;

    /** The time after which a cut is noticed, in milliseconds. */
    private final long mNoticeMillis;

    /** The numbers of the instances that are cut off. */
    private final Set<Integer> mCut = new HashSet<>();

    /** The numbers of the instances of which the others noticed it. */
    private final Set<Integer> mMissed = new HashSet<>();

    /** When instances received a report, by receiver and sender. */
    private final Map<Integer, Map<Integer, Long>> mReportedMillis = new HashMap<>();

    private boolean mUnreliable;

    FakeNetwork(VirtualTime time, Random random, long noticeMillis) {
        mTime = time;
        mRandom = random;
        mNoticeMillis = noticeMillis;
    }

    /** Makes it lose, double and reorder messages about requests. */
    void setUnreliable() {
        mUnreliable = true;
    }

    /** Cuts an instance off from the others, or ends that, which is noticed at once. */
    void setCut(int instance, boolean cut) {
        if (cut) {
            mCut.add(instance);
            mTime.after(mNoticeMillis, () -> noticeCut(instance));
        } else {
            mCut.remove(instance);
            mMissed.remove(instance);
        }
    }

    private void noticeCut(int instance) {
        if (mCut.contains(instance)) {
            mMissed.add(instance);
        }
    }

    boolean isCut(int instance) {
        return mCut.contains(instance);
    }

    boolean connects(int from, int to) {
        return !isCut(from) && !isCut(to);
    }

    /** Returns the number of instances that others can reach, as far as an instance noticed. */
    int reachableFrom(int instance, int instances) {
        return mMissed.contains(instance) ? 1 : instances - mMissed.size();
    }

    /** Records that a report arrived. */
    void reported(int from, int to) {
        mReportedMillis.computeIfAbsent(to, each -> new HashMap<>()).put(from, mTime.nowMillis());
    }

    /** Returns how many others of its cell reported to an instance in the last half second. */
    int recentSenders(int instance, int cellSize) {
        return (int)
                mReportedMillis.getOrDefault(instance, Map.of()).entrySet().stream()
                        .filter(each -> each.getKey() / cellSize == instance / cellSize)
                        .filter(each -> mTime.nowMillis() - each.getValue() <= 500)
                        .count();
    }

    /** Delivers a message after the time that it takes; several times or never if unreliable. */
    void send(Runnable deliver) {
        if (!mUnreliable) {
            mTime.after(MESSAGE_MILLIS, deliver);
            return;
        }
        // One message in ten is lost and one in ten doubled.
        int copies = mRandom.nextInt(10) == 0 ? 0 : 1 + mRandom.nextInt(10) / 9;
        for (int i = 0; i < copies; i++) {
            mTime.after(MESSAGE_MILLIS + mRandom.nextInt(MAX_EXTRA_MILLIS), deliver);
        }
    }
}
