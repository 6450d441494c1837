package org.magnoliapick.internal.share;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.share.ShareMessage.WorkspaceDemand;

/** State that a dispatcher keeps for one instance that uses its pool. */
final class RouterDemand {
    private final InstanceId mId;
    private final long mIncarnation;
    private final Map<DemandKey, DemandEntry> mEntries = new HashMap<>();
    private final Map<UpstreamId, Integer> mInFlight = new HashMap<>();

    /** Standing credits: the most requests that the instance may run at an upstream. */
    private final Map<UpstreamId, Integer> mWindows = new HashMap<>();

    private Map<UpstreamId, Integer> mSentWindows = Map.of();
    private final Map<UpstreamId, Long> mDeclinedUntilMillis = new HashMap<>();
    private final Map<DemandKey, Double> mUsedUnits = new HashMap<>();
    private final List<OpenGrant> mOpenGrants = new ArrayList<>();
    private long mDemandSequence = -1;
    private long mGrantSequence;
    private long mWindowSequence;
    private long mLastReceivedMillis;

    /** Identifies a queue of the instance. */
    record DemandKey(WorkspaceId workspace, String target) {}

    /** A grant that the instance has not acknowledged. */
    record OpenGrant(
            long sequence,
            DemandEntry entry,
            UpstreamId upstream,
            double estimateUnits,
            long expiresMillis) {}

    /** The reported demand of one queue, with its rank among the queues of its workspace. */
    static final class DemandEntry {
        private final RouterDemand mRouter;
        private final DemandKey mKey;
        private WorkspaceDemand mDemand;
        private int mGranted;
        private long mRankMillis;

        DemandEntry(RouterDemand router, DemandKey key) {
            mRouter = router;
            mKey = key;
        }

        RouterDemand router() {
            return mRouter;
        }

        DemandKey key() {
            return mKey;
        }

        WorkspaceDemand demand() {
            return mDemand;
        }

        /** Returns the number of waiting requests without an open grant. */
        int ungranted() {
            return mDemand.waiting() - mGranted;
        }

        long rankMillis() {
            return mRankMillis;
        }

        /** Replaces the demand by a newly reported one. */
        void setDemand(WorkspaceDemand demand, long nowMillis) {
            mDemand = demand;
            updateRank(nowMillis);
        }

        void addGranted(int change, long nowMillis) {
            mGranted = Math.max(0, mGranted + change);
            updateRank(nowMillis);
        }

        /**
         * Estimates the rank of the first request without a grant, assuming evenly spread arrivals.
         */
        private void updateRank(long nowMillis) {
            long headRankMillis = mDemand.headRankMillis();
            long elapsedMillis = Math.max(0, nowMillis - headRankMillis);
            mRankMillis =
                    headRankMillis
                            + elapsedMillis * mGranted / (Math.max(0, mDemand.waiting()) + 1);
        }
    }

    /**
     * Creates the state of an instance that has not reported yet.
     *
     * @param grantSequence a sequence above that of every earlier message to the instance
     */
    RouterDemand(InstanceId id, long incarnation, long grantSequence) {
        mId = id;
        mIncarnation = incarnation;
        mGrantSequence = grantSequence;
    }

    InstanceId id() {
        return mId;
    }

    long incarnation() {
        return mIncarnation;
    }

    Map<DemandKey, DemandEntry> entries() {
        return mEntries;
    }

    Map<UpstreamId, Integer> inFlight() {
        return mInFlight;
    }

    Map<UpstreamId, Integer> windows() {
        return mWindows;
    }

    List<OpenGrant> openGrants() {
        return mOpenGrants;
    }

    long lastReceivedMillis() {
        return mLastReceivedMillis;
    }

    /**
     * Records a received demand message; an outdated one also shows that the instance is alive.
     *
     * @return whether the message is newer than all before it
     */
    boolean accept(long sequence, long nowMillis) {
        mLastReceivedMillis = nowMillis;
        if (sequence <= mDemandSequence) {
            return false;
        }
        mDemandSequence = sequence;
        return true;
    }

    /** Returns the sequence of the next message to the instance. */
    long peekGrantSequence() {
        return mGrantSequence + 1;
    }

    long nextGrantSequence() {
        return ++mGrantSequence;
    }

    /** Records windows that were sent; until they are acknowledged, the wider ones count. */
    void recordSentWindows(Map<UpstreamId, Integer> windows, long sequence) {
        mSentWindows = windows;
        mWindowSequence = sequence;
        windows.forEach((upstream, slots) -> mWindows.merge(upstream, slots, Math::max));
    }

    /** Records the acknowledged sequence; returns whether it covers the last windows sent. */
    boolean acknowledgeWindows(long acknowledgedSequence) {
        if (acknowledgedSequence < mWindowSequence) {
            return false;
        }
        mWindows.clear();
        mWindows.putAll(mSentWindows);
        return true;
    }

    /** Returns whether the last windows sent allow any start without a grant. */
    boolean hasSentWindows() {
        return !mSentWindows.isEmpty();
    }

    /** Returns the slots of an upstream that the instance uses or may use without a grant. */
    int held(UpstreamId upstream) {
        int running = mInFlight.getOrDefault(upstream, 0);
        return Math.max(running, mWindows.getOrDefault(upstream, 0));
    }

    /** Returns the upstreams where the instance has running requests or a window. */
    Set<UpstreamId> heldUpstreams() {
        Set<UpstreamId> held = new HashSet<>(mInFlight.keySet());
        held.addAll(mWindows.keySet());
        return held;
    }

    /**
     * Records the total of used service of a queue; returns the increase since the highest total so
     * far, 0 for the first one.
     */
    double usedIncrease(DemandKey key, double usedUnits) {
        double used = Units.clampCounter(usedUnits);
        Double before = mUsedUnits.get(key);
        if (before == null) {
            mUsedUnits.put(key, used);
            return 0;
        }
        mUsedUnits.put(key, Math.max(before, used));
        return Math.max(0, used - before);
    }

    void decline(UpstreamId upstream, long untilMillis) {
        mDeclinedUntilMillis.put(upstream, untilMillis);
    }

    boolean declines(UpstreamId upstream, long nowMillis) {
        Long untilMillis = mDeclinedUntilMillis.get(upstream);
        if (untilMillis == null) {
            return false;
        }
        if (untilMillis <= nowMillis) {
            mDeclinedUntilMillis.remove(upstream);
            return false;
        }
        return true;
    }

    /** Returns whether the instance has no waiting or running requests, grants or windows. */
    boolean isIdle() {
        return mOpenGrants.isEmpty()
                && mInFlight.isEmpty()
                && mWindows.isEmpty()
                && mEntries.values().stream().allMatch(entry -> entry.demand().waiting() == 0);
    }
}
