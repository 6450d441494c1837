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
 * The service that workspaces receive from the pools of other failure domains. Totals only grow and
 * are merged by maximum, so loss, repetition and reordering do no harm.
 */
final class RemoteAttainedService {
    private static final int MAX_SOURCES = 128;
    private static final long FORGET_IN_FLIGHT_MILLIS = 3_000;

    private final FairIndex mIndex;
    private final InFlightUnits mInFlight;
    private final Map<Source, State> mSources = new HashMap<>();

    private record Source(InstanceId dispatcher, long incarnation, PoolId pool, long epochMillis) {}

    private static final class State {
        private final Map<WorkspaceId, ServiceTotal> mTotals = new TreeMap<>();
        private long mSequence = -1;
        private long mHeardMillis;
    }

    RemoteAttainedService(FairIndex index, InFlightUnits inFlight) {
        mIndex = index;
        mInFlight = inFlight;
    }

    /**
     * Takes totals of another dispatcher.
     *
     * @param baseline whether totals not seen before are taken as already accounted for
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
        state.mHeardMillis = nowMillis;
        forgetOldest();
        for (ServiceTotal total : message.totals()) {
            merge(state, total, newest, baseline);
        }
    }

    /** Returns whether a workspace has requests waiting for a pool of another domain. */
    boolean isBacklogged(WorkspaceId workspace) {
        for (State state : mSources.values()) {
            ServiceTotal total = state.mTotals.get(workspace);
            if (total != null && total.backlogged()) {
                return true;
            }
        }
        return false;
    }

    /** Forgets what silent dispatchers had in flight. */
    void tick(long nowMillis) {
        for (State state : mSources.values()) {
            if (nowMillis - state.mHeardMillis > FORGET_IN_FLIGHT_MILLIS) {
                state.mTotals.replaceAll((workspace, total) -> forgotten(total));
            }
        }
    }

    /** Forgets the dispatcher that has been silent for longest when there are too many. */
    private void forgetOldest() {
        if (mSources.size() > MAX_SOURCES) {
            mSources.entrySet().stream()
                    .min(Comparator.comparingLong(entry -> entry.getValue().mHeardMillis))
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
        double most = Math.max(used, usedBefore);
        state.mTotals.put(
                total.workspace(), new ServiceTotal(total.workspace(), most, inFlight, backlogged));
        if (most > usedBefore) {
            mIndex.charge(total.workspace(), most - usedBefore);
        }
        if (inFlight != inFlightBefore) {
            mInFlight.replace(total.workspace(), inFlightBefore, inFlight);
        }
    }

    private ServiceTotal forgotten(ServiceTotal total) {
        if (total.inFlightUnits() > 0) {
            mInFlight.replace(total.workspace(), total.inFlightUnits(), 0);
        }
        return new ServiceTotal(total.workspace(), total.usedUnits(), 0, false);
    }
}
