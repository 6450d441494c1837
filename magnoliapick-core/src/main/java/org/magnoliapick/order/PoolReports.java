package org.magnoliapick.order;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.magnoliapick.lib.PoolId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.member.FleetView;
import org.magnoliapick.member.MemberState;
import org.magnoliapick.member.UpstreamMember;

/** The reports of the engines of a pool, compared with their desired state. */
final class PoolReports {
    private final DesiredState mDesired;
    private final Set<OrderPlanner.Change> mUnloads;
    private final List<UpstreamId> mLive;
    private final List<EngineState> mEngines;

    /**
     * Creates the comparison for the live engines of a pool.
     *
     * @param unloads unloads that were ordered and may take effect at any time
     */
    PoolReports(
            DesiredState desired,
            FleetView view,
            List<EngineState> reports,
            Set<OrderPlanner.Change> unloads) {
        mDesired = desired;
        mUnloads = unloads;
        mLive =
                view.upstreams().stream()
                        .filter(member -> isLiveEngineOf(member, desired.pool()))
                        .map(UpstreamMember::id)
                        .toList();
        mEngines =
                reports.stream()
                        .filter(each -> mLive.contains(each.upstream()))
                        .sorted(Comparator.comparing(EngineState::upstream))
                        .toList();
    }

    private static boolean isLiveEngineOf(UpstreamMember member, PoolId pool) {
        return member.state() == MemberState.LIVE
                && member.domain().equals(pool.domain())
                && member.targets().contains(pool.target());
    }

    DesiredState desired() {
        return mDesired;
    }

    List<EngineState> engines() {
        return mEngines;
    }

    /** Returns the live engines without a report requested at the given time or later. */
    List<UpstreamId> staleUpstreams(long notBeforeMillis) {
        List<UpstreamId> stale = new ArrayList<>(mLive);
        for (EngineState engine : mEngines) {
            if (engine.requestedAtMillis() >= notBeforeMillis) {
                stale.remove(engine.upstream());
            }
        }
        return stale;
    }

    /** Returns the next order that an engine needs; loads come before unloads. */
    Optional<OrderPlanner.Change> nextChange(EngineState engine) {
        if (!engine.models().contains(mDesired.version())) {
            return change(engine, OrderKind.LOAD_MODEL, mDesired.version());
        }
        Set<String> missing = new TreeSet<>(mDesired.adapters());
        missing.removeAll(engine.adapters());
        if (!missing.isEmpty()) {
            return change(engine, OrderKind.LOAD_ADAPTER, missing.iterator().next());
        }
        if (mDesired.role().filter(role -> !role.equals(engine.role())).isPresent()) {
            return change(engine, OrderKind.SET_ROLE, mDesired.role().get());
        }
        return nextUnload(engine);
    }

    private Optional<OrderPlanner.Change> nextUnload(EngineState engine) {
        Set<String> models = new TreeSet<>(engine.models());
        models.removeIf(model -> !isOtherVersion(model));
        for (String model : models) {
            if (mayUnload(engine, model)) {
                return change(engine, OrderKind.UNLOAD_MODEL, model);
            }
        }
        Set<String> adapters = new TreeSet<>(engine.adapters());
        adapters.removeAll(mDesired.adapters());
        for (String adapter : adapters) {
            if (mayUnload(engine, adapter)) {
                return change(engine, OrderKind.UNLOAD_ADAPTER, adapter);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns whether this is another version of the pool's model. Other models of an engine belong
     * to other pools and must not be unloaded.
     */
    private boolean isOtherVersion(String model) {
        return !model.equals(mDesired.version())
                && model.startsWith(mDesired.pool().target() + "@");
    }

    private boolean mayUnload(EngineState engine, String subject) {
        boolean heldElsewhere =
                mEngines.stream()
                        .filter(other -> !other.upstream().equals(engine.upstream()))
                        .anyMatch(other -> holds(other, subject));
        return heldElsewhere || mEngines.stream().allMatch(each -> each.holds(mDesired));
    }

    private boolean holds(EngineState engine, String subject) {
        boolean unloading =
                mUnloads.stream()
                        .filter(unload -> unload.upstream().equals(engine.upstream()))
                        .anyMatch(unload -> unload.subject().equals(subject));
        return !unloading && reportsToHold(engine, subject);
    }

    private static boolean reportsToHold(EngineState engine, String subject) {
        return engine.models().contains(subject) || engine.adapters().contains(subject);
    }

    private static Optional<OrderPlanner.Change> change(
            EngineState engine, OrderKind kind, String subject) {
        return Optional.of(new OrderPlanner.Change(engine.upstream(), kind, subject));
    }
}
