package org.magnoliapick.router.internal.member;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.member.FleetView;
import org.magnoliapick.member.MemberTable;
import org.magnoliapick.member.RouterMember;
import org.magnoliapick.member.UpstreamMember;
import org.magnoliapick.ports.InstanceList;
import org.magnoliapick.ports.ListedMember;
import org.magnoliapick.router.internal.Readiness;
import org.magnoliapick.router.internal.RouterIdentity;
import org.magnoliapick.router.internal.supervisor.Part;

/** Reads the platform's list, renews the own entry in it, and publishes each new view. */
@Singleton
public final class MemberPart implements Part {
    private static final Duration TIMEOUT = Duration.ofMillis(800);
    private static final long PERIOD_MILLIS = 500;
    private static final int ROUNDS_BETWEEN_RENEWALS = 4;

    private final RouterIdentity mSelf;
    private final InstanceList mList;
    private final MemberTable mTable;
    private final Readiness mReadiness;
    private final PeerPort mPeerPort;
    private final InstantSource mClock;
    private final List<ViewListener> mListeners = new CopyOnWriteArrayList<>();
    private volatile FleetView mPublished = FleetView.EMPTY;
    private volatile Set<String> mDraining = Set.of();
    private int mRound;

    @Inject
    MemberPart(
            RouterIdentity self,
            InstanceList list,
            MemberTable table,
            Readiness readiness,
            PeerPort peerPort,
            InstantSource clock) {
        mSelf = self;
        mList = list;
        mTable = table;
        mReadiness = readiness;
        mPeerPort = peerPort;
        mClock = clock;
    }

    @Override
    public String name() {
        return "members";
    }

    @Override
    public void step() throws InterruptedException {
        renewIfDue();
        readList();
        publishIfChanged();
        Thread.sleep(PERIOD_MILLIS);
    }

    /** Takes the upstreams that operators drain; they leave with the next view. */
    public void configChanged(FleetConfig config) {
        mDraining = config.draining();
    }

    /** Adds a listener, which hears of the next view that differs. */
    public void addListener(ViewListener listener) {
        mListeners.add(listener);
    }

    /** Returns the failure domains of all routers known. */
    public Set<String> failureDomains() {
        Set<String> domains = new TreeSet<>();
        mPublished.routers().forEach(router -> domains.add(router.domain().value()));
        return domains;
    }

    /** Notes a direct sign of life of another instance. */
    public void heard(InstanceId from, long incarnation, boolean leaving) {
        synchronized (mTable) {
            mTable.heartbeatReceived(from, incarnation, leaving, mClock.millis());
        }
    }

    private void renewIfDue() {
        boolean due = mRound % ROUNDS_BETWEEN_RENEWALS == 0 || mReadiness.isLeaving();
        mRound++;
        if (due) {
            mList.register(ownEntry(), TIMEOUT);
        }
    }

    private ListedMember ownEntry() {
        return new ListedMember(
                mSelf.id().value(),
                ListedMember.Role.ROUTER,
                mSelf.domain().value(),
                mSelf.host(),
                mSelf.callerPort(),
                mPeerPort.get(),
                Set.of(),
                mReadiness.isLeaving());
    }

    private void readList() {
        Optional<List<ListedMember>> listed = mList.fetch(TIMEOUT);
        synchronized (mTable) {
            if (listed.isPresent()) {
                take(listed.get());
            } else {
                mTable.listUnreadable(mClock.millis());
            }
        }
    }

    private void take(List<ListedMember> listed) {
        List<RouterMember> routers = new ArrayList<>();
        List<UpstreamMember> upstreams = new ArrayList<>();
        for (ListedMember member : listed) {
            if (member.role() == ListedMember.Role.ROUTER) {
                routers.add(Members.router(member));
            } else {
                upstreams.add(Members.upstream(member));
            }
        }
        mTable.applyList(routers, upstreams, mClock.millis());
    }

    private void publishIfChanged() {
        FleetView view;
        synchronized (mTable) {
            view = Members.draining(mTable.view(mClock.millis()), mDraining);
        }
        if (!view.equals(mPublished)) {
            mPublished = view;
            mListeners.forEach(listener -> listener.viewChanged(view));
        }
    }
}
