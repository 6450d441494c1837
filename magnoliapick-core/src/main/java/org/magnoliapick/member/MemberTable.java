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
 * Joins the platform's instance list, which lags, with direct heartbeats. Times are in milliseconds
 * since the epoch.
 *
 * <p>A list that is empty or cannot be read changes nothing. A member that is missing from a list
 * is suspected after a while and forgotten much later. Leaving is sticky: a member returns to live
 * only in a new incarnation.
 */
public final class MemberTable {
    /** The least silence after which a router is suspected, in milliseconds. */
    public static final long SUSPECT_AFTER_MILLIS = 3_000;

    /** The time that a member may be missing from the list before it is suspected. */
    public static final long MISSING_GRACE_MILLIS = 2_000;

    /** The time that a member must be missing from the list before it is forgotten. */
    public static final long FORGET_AFTER_MILLIS = 60_000;

    /** The time that a list must show a leaving upstream as live to prove a new start. */
    public static final long UPSTREAM_RETURN_MILLIS = 30_000;

    private final InstanceId mSelf;
    private final FailureDomain mDomain;
    private final Map<InstanceId, RouterEntry> mRouters = new TreeMap<>();
    private final Map<UpstreamId, UpstreamEntry> mUpstreams = new TreeMap<>();
    private long mListReadAtMillis;

    /** Creates a table that holds only the instance itself. */
    public MemberTable(RouterMember self, long nowMillis) {
        mSelf = self.id();
        mDomain = self.domain();
        RouterEntry entry = new RouterEntry(nowMillis);
        entry.listed(self, nowMillis);
        entry.heard(self.incarnation(), false, nowMillis);
        mRouters.put(mSelf, entry);
        mListReadAtMillis = nowMillis;
    }

    /** Takes a list that was read. An empty one counts as unreadable. */
    public void applyList(List<RouterMember> routers, List<UpstreamMember> upstreams, long nowMillis) {
        if (routers.isEmpty() && upstreams.isEmpty()) {
            listUnreadable(nowMillis);
            return;
        }
        Set<Object> present = new HashSet<>();
        for (RouterMember router : routers) {
            present.add(router.id());
            routerEntry(router.id(), nowMillis).listed(router, nowMillis);
        }
        for (UpstreamMember upstream : upstreams) {
            present.add(upstream.id());
            mUpstreams
                    .computeIfAbsent(upstream.id(), id -> new UpstreamEntry(upstream))
                    .listed(upstream, nowMillis);
        }
        markMissing(present, nowMillis);
        forget(nowMillis);
        mListReadAtMillis = nowMillis;
    }

    /** Takes note that the list could not be read: what is known is kept. */
    public void listUnreadable(long nowMillis) {
        // Absence cannot be judged meanwhile, so it does not grow.
        long outageMillis = nowMillis - mListReadAtMillis;
        mRouters.values().forEach(entry -> entry.mMissing.extend(outageMillis));
        mUpstreams.values().forEach(entry -> entry.mMissing.extend(outageMillis));
        mListReadAtMillis = nowMillis;
    }

    /**
     * Takes a heartbeat. One of an older incarnation is ignored.
     *
     * @param incarnation the start of the sender's process
     * @param leaving whether the sender said that it leaves
     */
    public void heartbeatReceived(InstanceId router, long incarnation, boolean leaving, long nowMillis) {
        routerEntry(router, nowMillis).heard(incarnation, leaving, nowMillis);
    }

    /** Takes note that this instance itself leaves. */
    public void markSelfLeaving(long nowMillis) {
        RouterEntry self = mRouters.get(mSelf);
        self.heard(self.mIncarnation, true, nowMillis);
    }

    /** Returns the fleet as of now. */
    public FleetView view(long nowMillis) {
        mRouters.get(mSelf).alive(nowMillis);
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
     * Returns the silence after which a router is suspected. Those of other failure domains send no
     * heartbeats, so their silence means nothing.
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
        mRouters.forEach((id, entry) -> entry.mMissing.mark(!present.contains(id), nowMillis));
        mUpstreams.forEach((id, entry) -> entry.mMissing.mark(!present.contains(id), nowMillis));
    }

    private void forget(long nowMillis) {
        mRouters.entrySet()
                .removeIf(each -> !each.getKey().equals(mSelf) && each.getValue().gone(nowMillis));
        mUpstreams
                .values()
                .removeIf(entry -> entry.mMissing.longerThan(FORGET_AFTER_MILLIS, nowMillis));
    }
}
