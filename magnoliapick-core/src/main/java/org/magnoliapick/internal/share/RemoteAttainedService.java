package org.magnoliapick.internal.share;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.PoolId;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.share.ShareMessage.AttainedService;
import org.magnoliapick.share.ShareMessage.ServiceTotal;

/**
 * Service that workspaces attain at the pools of other failure domains, as the dispatchers of those
 * pools report it. Totals never decrease and are merged by maximum, so that lost, duplicate and
 * reordered messages do no harm.
 */
final class RemoteAttainedService {
    /** Maximum number of dispatcher and pool pairs; the least recently updated is evicted. */
    private static final int MAX_SOURCES = 128;

    private static final long IN_FLIGHT_TIMEOUT_MILLIS = 3_000;

    private final FairIndex mIndex;
    private final InFlightUnits mInFlight;
    private final Map<Source, State> mSources = new HashMap<>();

    private record Source(InstanceId dispatcher, long incarnation, PoolId pool, long epochMillis) {}

    private static final class State {
        private final Map<WorkspaceId, ServiceTotal> mTotals = new TreeMap<>();
        private long mSequence = -1;
        private long mLastReceivedMillis;
    }

    RemoteAttainedService(FairIndex index, InFlightUnits inFlight) {
        mIndex = index;
        mInFlight = inFlight;
    }

    /**
     * Merges the totals of another dispatcher and charges the increase. In-flight and backlog
     * figures are taken from the message with the highest sequence only.
     *
     * @param baseline whether the first total of a workspace is a starting point that is not
     *     charged
     */
    void merge(
            InstanceId from,
            long incarnation,
            AttainedService message,
            boolean baseline,
            long nowMillis) {
        Source source = new Source(from, incarnation, message.pool(), message.epochMillis());
        State state = mSources.computeIfAbsent(source, key -> new State());
        boolean newest = message.sequence() > state.mSequence;
        state.mSequence = Math.max(state.mSequence, message.sequence());
        state.mLastReceivedMillis = nowMillis;
        evictOldest();
        for (ServiceTotal total : message.totals()) {
            merge(state, total, newest, baseline);
        }
    }

    /** Returns whether a workspace has requests queued for a pool of another domain. */
    boolean isBacklogged(WorkspaceId workspace) {
        for (State state : mSources.values()) {
            ServiceTotal total = state.mTotals.get(workspace);
            if (total != null && total.backlogged()) {
                return true;
            }
        }
        return false;
    }

    /** Drops the in-flight and backlog figures of dispatchers without a message in the timeout. */
    void tick(long nowMillis) {
        for (State state : mSources.values()) {
            if (nowMillis - state.mLastReceivedMillis > IN_FLIGHT_TIMEOUT_MILLIS) {
                state.mTotals.replaceAll((workspace, total) -> withoutInFlight(total));
            }
        }
    }

    /** Removes the least recently updated source if there are too many. */
    private void evictOldest() {
        if (mSources.size() > MAX_SOURCES) {
            mSources.entrySet().stream()
                    .min(Comparator.comparingLong(entry -> entry.getValue().mLastReceivedMillis))
                    .ifPresent(entry -> mSources.remove(entry.getKey()));
        }
    }

    private void merge(State state, ServiceTotal total, boolean newest, boolean baseline) {
        ServiceTotal before = state.mTotals.get(total.workspace());
        double used = Units.clampCounter(total.usedUnits());
        double usedBefore = before == null ? (baseline ? used : 0) : before.usedUnits();
        double inFlightBefore = before == null ? 0 : before.inFlightUnits();
        double inFlight = newest ? Units.clampCounter(total.inFlightUnits()) : inFlightBefore;
        boolean backlogged = newest ? total.backlogged() : before != null && before.backlogged();
        double usedMax = Math.max(used, usedBefore);
        state.mTotals.put(
                total.workspace(),
                new ServiceTotal(total.workspace(), usedMax, inFlight, backlogged));
        if (usedMax > usedBefore) {
            mIndex.charge(total.workspace(), usedMax - usedBefore);
        }
        if (inFlight != inFlightBefore) {
            mInFlight.replace(total.workspace(), inFlightBefore, inFlight);
        }
    }

    private ServiceTotal withoutInFlight(ServiceTotal total) {
        if (total.inFlightUnits() > 0) {
            mInFlight.replace(total.workspace(), total.inFlightUnits(), 0);
        }
        return new ServiceTotal(total.workspace(), total.usedUnits(), 0, false);
    }
}
