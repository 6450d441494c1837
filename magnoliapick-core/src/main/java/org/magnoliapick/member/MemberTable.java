package org.magnoliapick.member;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.UpstreamId;

/**
 * Combines the platform's instance list, which lags, with direct heartbeats. Times are in
 * milliseconds since the epoch.
 *
 * <p>A list that is empty or cannot be read changes nothing. A router is suspected when its
 * heartbeats stop, an upstream when it is missing from the list. A member that stays missing from
 * the list is removed much later, a router only once its heartbeats have stopped too. Leaving is
 * final for an incarnation: a router returns to live only in a new one, an upstream only at a new
 * address or after the list has shown it as live for longer than the list lags.
 */
public final class MemberTable {
    /** The minimum time without a heartbeat after which a router is suspected, in milliseconds. */
    public static final long SUSPECT_AFTER_MILLIS = 3_000;

    /** How long an upstream may be missing from the list before it is suspected. */
    public static final long MISSING_GRACE_MILLIS = 2_000;

    /** How long a member must be missing from the list before it is removed. */
    public static final long FORGET_AFTER_MILLIS = 60_000;

    /** How long the list must show a leaving upstream as live before it counts as restarted. */
    public static final long UPSTREAM_RETURN_MILLIS = 30_000;

    private final InstanceId mSelf;
    private final FailureDomain mDomain;
    private final Map<InstanceId, RouterEntry> mRouters = new TreeMap<>();
    private final Map<UpstreamId, UpstreamEntry> mUpstreams = new TreeMap<>();
    private long mLastListMillis;

    /** Creates a table that holds only the instance itself. */
    public MemberTable(RouterMember self, long nowMillis) {
        mSelf = self.id();
        mDomain = self.domain();
        RouterEntry entry = new RouterEntry(nowMillis);
        entry.applyListed(self, nowMillis);
        entry.heartbeatReceived(self.incarnation(), false, nowMillis);
        mRouters.put(mSelf, entry);
        mLastListMillis = nowMillis;
    }

    /** Applies a list that was read. An empty one counts as unreadable. */
    public void applyList(
            List<RouterMember> routers, List<UpstreamMember> upstreams, long nowMillis) {
        if (routers.isEmpty() && upstreams.isEmpty()) {
            listUnreadable(nowMillis);
            return;
        }
        Set<Object> present = new HashSet<>();
        for (RouterMember router : routers) {
            present.add(router.id());
            routerEntry(router.id(), nowMillis).applyListed(router, nowMillis);
        }
        for (UpstreamMember upstream : upstreams) {
            present.add(upstream.id());
            mUpstreams
                    .computeIfAbsent(upstream.id(), id -> new UpstreamEntry(upstream))
                    .applyListed(upstream, nowMillis);
        }
        markMissing(present, nowMillis);
        removeGone(nowMillis);
        mLastListMillis = nowMillis;
    }

    /** Records that the list could not be read; all members are kept as they are. */
    public void listUnreadable(long nowMillis) {
        // Without a list, absence is unknown and does not grow.
        long outageMillis = nowMillis - mLastListMillis;
        mRouters.values().forEach(entry -> entry.mMissing.excludeOutage(outageMillis));
        mUpstreams.values().forEach(entry -> entry.mMissing.excludeOutage(outageMillis));
        mLastListMillis = nowMillis;
    }

    /**
     * Applies a heartbeat. One of an older incarnation is ignored.
     *
     * @param incarnation the start of the sender's process
     * @param leaving whether the sender announced that it leaves
     */
    public void heartbeatReceived(
            InstanceId router, long incarnation, boolean leaving, long nowMillis) {
        routerEntry(router, nowMillis).heartbeatReceived(incarnation, leaving, nowMillis);
    }

    /** Marks this instance itself as leaving. */
    public void markSelfLeaving(long nowMillis) {
        RouterEntry self = mRouters.get(mSelf);
        self.heartbeatReceived(self.mIncarnation, true, nowMillis);
    }

    /** Returns the current view of the fleet. */
    public FleetView view(long nowMillis) {
        mRouters.get(mSelf).markAlive(nowMillis);
        List<RouterMember> routers =
                mRouters.values().stream()
                        .filter(RouterEntry::hasAddress)
                        .map(entry -> entry.toMember(suspectAfterMillis(entry), nowMillis))
                        .toList();
        List<UpstreamMember> upstreams =
                mUpstreams.values().stream().map(entry -> entry.toMember(nowMillis)).toList();
        return new FleetView(routers, upstreams);
    }

    /**
     * Returns the time without a heartbeat after which a router is suspected. Routers of other
     * failure domains send no heartbeats and are never suspected.
     */
    private long suspectAfterMillis(RouterEntry entry) {
        boolean neighbour = entry.domain().equals(Optional.of(mDomain));
        return neighbour ? Heartbeats.suspectAfterMillis(neighbours()) : Long.MAX_VALUE;
    }

    private int neighbours() {
        Optional<FailureDomain> own = Optional.of(mDomain);
        long inDomain =
                mRouters.values().stream().filter(entry -> entry.domain().equals(own)).count();
        return (int) inDomain - 1;
    }

    private RouterEntry routerEntry(InstanceId id, long nowMillis) {
        return mRouters.computeIfAbsent(id, key -> new RouterEntry(nowMillis));
    }

    private void markMissing(Set<Object> present, long nowMillis) {
        mRouters.forEach((id, entry) -> entry.mMissing.update(!present.contains(id), nowMillis));
        mUpstreams.forEach((id, entry) -> entry.mMissing.update(!present.contains(id), nowMillis));
    }

    private void removeGone(long nowMillis) {
        mRouters.entrySet()
                .removeIf(
                        each -> !each.getKey().equals(mSelf) && each.getValue().isGone(nowMillis));
        mUpstreams
                .values()
                .removeIf(entry -> entry.mMissing.longerThan(FORGET_AFTER_MILLIS, nowMillis));
    }
}
