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

/** What a dispatcher knows of one instance that uses its pool. */
final class RouterDemand {
    private final InstanceId mId;
    private final long mIncarnation;
    private final Map<DemandKey, DemandEntry> mEntries = new HashMap<>();
    private final Map<UpstreamId, Integer> mInFlight = new HashMap<>();
    private final Map<UpstreamId, Integer> mWindows = new HashMap<>();
    private Map<UpstreamId, Integer> mSentWindows = Map.of();
    private final Map<UpstreamId, Long> mDeclinedUntilMillis = new HashMap<>();
    private final Map<DemandKey, Double> mUsedUnits = new HashMap<>();
    private final List<OpenGrant> mOpenGrants = new ArrayList<>();
    private long mDemandSequence = -1;
    private long mGrantSequence;
    private long mWindowSequence;
    private long mHeardMillis;

    /** Names a queue of the instance. */
    record DemandKey(WorkspaceId workspace, String target) {}

    /** A grant that the instance has not answered. */
    record OpenGrant(
            long sequence,
            DemandEntry entry,
            UpstreamId upstream,
            double estimateUnits,
            long expiresMillis) {}

    /** One queue of the instance, with its place among those of its workspace. */
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

        /** Returns the requests that wait and have no grant under way. */
        int ungranted() {
            return mDemand.waiting() - mGranted;
        }

        long rankMillis() {
            return mRankMillis;
        }

        /** Takes new figures. */
        void setDemand(WorkspaceDemand demand, long nowMillis) {
            mDemand = demand;
            updateRank(nowMillis);
        }

        void addGranted(int change, long nowMillis) {
            mGranted = Math.max(0, mGranted + change);
            updateRank(nowMillis);
        }

        /** Guesses the rank behind the granted requests: arrivals are taken as evenly spread. */
        private void updateRank(long nowMillis) {
            long head = mDemand.headRankMillis();
            long spread = Math.max(0, nowMillis - head);
            mRankMillis = head + spread * mGranted / (Math.max(0, mDemand.waiting()) + 1);
        }
    }

    /**
     * Creates an instance of which nothing is known.
     *
     * @param grantSequence a number above that of every earlier message to the instance
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
        return mHeardMillis;
    }

    /** Takes the number of a demand message; returns whether it is newer than all before. */
    boolean accept(long sequence, long nowMillis) {
        mHeardMillis = nowMillis;
        if (sequence <= mDemandSequence) {
            return false;
        }
        mDemandSequence = sequence;
        return true;
    }

    /** Returns the number that the next message to the instance will bear. */
    long peekGrantSequence() {
        return mGrantSequence + 1;
    }

    long nextGrantSequence() {
        return ++mGrantSequence;
    }

    /** Notes windows that were sent; until they are heard of, the wider ones count. */
    void recordSentWindows(Map<UpstreamId, Integer> windows, long sequence) {
        mSentWindows = windows;
        mWindowSequence = sequence;
        windows.forEach((upstream, slots) -> mWindows.merge(upstream, slots, Math::max));
    }

    /** Notes up to which message the instance has heard; returns whether windows are settled. */
    boolean acknowledgeWindows(long sequence) {
        if (sequence < mWindowSequence) {
            return false;
        }
        mWindows.clear();
        mWindows.putAll(mSentWindows);
        return true;
    }

    /** Returns whether the last windows that were sent allow any start without asking. */
    boolean hasSentWindows() {
        return !mSentWindows.isEmpty();
    }

    /** Returns the slots of an upstream that the instance holds or may take without asking. */
    int held(UpstreamId upstream) {
        int running = mInFlight.getOrDefault(upstream, 0);
        return Math.max(running, mWindows.getOrDefault(upstream, 0));
    }

    /** Returns every upstream of which the instance may hold slots. */
    Set<UpstreamId> heldUpstreams() {
        Set<UpstreamId> held = new HashSet<>(mInFlight.keySet());
        held.addAll(mWindows.keySet());
        return held;
    }

    /** Takes a total of used service; returns the increase since the last one. */
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

    /** Returns whether the instance neither waits nor runs nor may start anything. */
    boolean isIdle() {
        return mOpenGrants.isEmpty()
                && mInFlight.isEmpty()
                && mWindows.isEmpty()
                && mEntries.values().stream().allMatch(entry -> entry.demand().waiting() == 0);
    }
}
