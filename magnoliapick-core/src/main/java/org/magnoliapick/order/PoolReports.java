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

/** The reports of a pool's engines beside what the settings want of them. */
final class PoolReports {
    private final DesiredState mWanted;
    private final Set<OrderPlanner.Change> mDrops;
    private final List<UpstreamId> mLive;
    private final List<EngineState> mEngines;

    /**
     * Joins what is known.
     *
     * @param drops drops that were ordered and may take effect at any time
     */
    PoolReports(
            DesiredState wanted,
            FleetView view,
            List<EngineState> reports,
            Set<OrderPlanner.Change> drops) {
        mWanted = wanted;
        mDrops = drops;
        mLive =
                view.upstreams().stream()
                        .filter(each -> takesOrders(each, wanted.pool()))
                        .map(UpstreamMember::id)
                        .toList();
        mEngines =
                reports.stream()
                        .filter(each -> mLive.contains(each.upstream()))
                        .sorted(Comparator.comparing(EngineState::upstream))
                        .toList();
    }

    private static boolean takesOrders(UpstreamMember member, PoolId pool) {
        return member.state() == MemberState.LIVE
                && member.domain().equals(pool.domain())
                && member.targets().contains(pool.target());
    }

    DesiredState wanted() {
        return mWanted;
    }

    List<EngineState> engines() {
        return mEngines;
    }

    /** Returns the live engines without a report that was read at the given time or later. */
    List<UpstreamId> staleUpstreams(long notBeforeMillis) {
        List<UpstreamId> stale = new ArrayList<>(mLive);
        for (EngineState engine : mEngines) {
            if (engine.requestedAtMillis() >= notBeforeMillis) {
                stale.remove(engine.upstream());
            }
        }
        return stale;
    }

    /** Returns the next order that an engine needs: loads come before drops. */
    Optional<OrderPlanner.Change> nextChange(EngineState engine) {
        if (!engine.models().contains(mWanted.version())) {
            return change(engine, OrderKind.LOAD_MODEL, mWanted.version());
        }
        Set<String> missing = new TreeSet<>(mWanted.adapters());
        missing.removeAll(engine.adapters());
        if (!missing.isEmpty()) {
            return change(engine, OrderKind.LOAD_ADAPTER, missing.iterator().next());
        }
        if (mWanted.role().filter(role -> !role.equals(engine.role())).isPresent()) {
            return change(engine, OrderKind.SET_ROLE, mWanted.role().get());
        }
        return nextDrop(engine);
    }

    private Optional<OrderPlanner.Change> nextDrop(EngineState engine) {
        Set<String> models = new TreeSet<>(engine.models());
        models.removeIf(model -> !isOtherVersion(model));
        for (String model : models) {
            if (mayDrop(engine, model)) {
                return change(engine, OrderKind.UNLOAD_MODEL, model);
            }
        }
        Set<String> adapters = new TreeSet<>(engine.adapters());
        adapters.removeAll(mWanted.adapters());
        for (String adapter : adapters) {
            if (mayDrop(engine, adapter)) {
                return change(engine, OrderKind.UNLOAD_ADAPTER, adapter);
            }
        }
        return Optional.empty();
    }

    /** Other models of an engine belong to other pools and are left alone. */
    private boolean isOtherVersion(String model) {
        return !model.equals(mWanted.version()) && model.startsWith(mWanted.pool().target() + "@");
    }

    private boolean mayDrop(EngineState engine, String subject) {
        boolean heldElsewhere =
                mEngines.stream()
                        .filter(other -> !other.upstream().equals(engine.upstream()))
                        .anyMatch(other -> holds(other, subject));
        return heldElsewhere || mEngines.stream().allMatch(each -> each.holds(mWanted));
    }

    private boolean holds(EngineState engine, String subject) {
        boolean dropped =
                mDrops.stream()
                        .filter(drop -> drop.upstream().equals(engine.upstream()))
                        .anyMatch(drop -> drop.subject().equals(subject));
        return !dropped && reportsToHold(engine, subject);
    }

    private static boolean reportsToHold(EngineState engine, String subject) {
        return engine.models().contains(subject) || engine.adapters().contains(subject);
    }

    private static Optional<OrderPlanner.Change> change(
            EngineState engine, OrderKind kind, String subject) {
        return Optional.of(new OrderPlanner.Change(engine.upstream(), kind, subject));
    }
}
