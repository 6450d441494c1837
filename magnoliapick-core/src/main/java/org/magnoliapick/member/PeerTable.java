package org.magnoliapick.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.pool.InstanceReport;

/**
 * Which other instances there are, which of them decides for this one, and which are told something
 * now. What an instance tells does not grow with the fleet: it tells the dispatcher that decides
 * for it and the next in order, and learns from their replies who else is there. Silent instances
 * are greeted now and then, so that a healed partition or a restart is noticed from either side.
 */
public final class PeerTable {
    /** How often a dispatcher is told in a small fleet, in milliseconds. */
    private static final long DUTY_MILLIS = 100;

    /** How often a dispatcher is told in a large fleet, in milliseconds. */
    private static final long MOST_DUTY_MILLIS = 200;

    /** How many times as long the next in order waits to be told. */
    private static final int STANDBY_PERIODS = 2;

    /** How often silent instances are greeted, in milliseconds. */
    private static final long SILENT_MILLIS = 1_000;

    /** How often seeds are greeted until anyone answers, in milliseconds. */
    private static final long ALONE_MILLIS = 200;

    /** How many silent instances are greeted at once, so that the cost is bounded. */
    private static final int MOST_GREETED = 8;

    /** After how long without a word an instance is silent, in milliseconds. */
    private static final long HEARD_MILLIS = 2_000;

    /** How long the word of another instance on who is there holds, in milliseconds. */
    private static final long VOUCHED_MILLIS = 6_000;

    /** How many of those next in order are asked while the dispatcher does not answer. */
    private static final int PROBED = 4;

    /** After how long without a word an instance that is no seed is forgotten. */
    private static final long FORGET_MILLIS = 60_000;

    /** How soon after the last word to it an instance gets its reply, in milliseconds. */
    private static final long REPLY_MILLIS = 20;

    /** How often one instance is told the members, in milliseconds. */
    private static final long MEMBERS_MILLIS = 500;

    /** How long the choice of the dispatcher is used, in milliseconds. */
    private static final long DISPATCHER_MILLIS = 10;

    /** How long the view of who is there is used, in milliseconds. */
    private static final long VIEW_MILLIS = 50;

    private final Member mSelf;
    private final Map<String, Peer> mPeers = new HashMap<>();
    private final Map<InstanceId, String> mAddresses = new HashMap<>();
    private final ReachabilityReports mVouching = new ReachabilityReports(VOUCHED_MILLIS);
    private FleetCells mCells;
    private List<Member> mDirect;
    private Set<Member> mLive = Set.of();
    private long mViewMillis = Long.MIN_VALUE / 2;
    private boolean mDeclinesDuty;
    private InstanceId mDispatcher;
    private long mDispatcherMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a table of the seeds.
     *
     * @param self this instance, which is never told anything
     */
    public PeerTable(Member self, Collection<String> seeds, long nowMillis) {
        mSelf = self;
        mDispatcher = self.instance();
        mDirect = List.of(self);
        mCells = new FleetCells(List.of(self));
        seeds.forEach(seed -> learn(seed, true, nowMillis));
    }

    /** Sets whether this instance is not to decide for others. */
    public void setDeclinesDuty(boolean declines) {
        mDeclinesDuty = declines;
    }

    /** Returns whether this instance is not to decide for others. */
    public boolean declinesDuty() {
        return mDeclinesDuty;
    }

    /** Takes a report; returns whether it is news of its instance. */
    public boolean acceptReport(InstanceReport report, long nowMillis) {
        Peer peer = learn(report.sender().address(), false, nowMillis);
        if (peer == null || !peer.heard(report, nowMillis)) {
            return false;
        }
        mAddresses.put(report.sender().instance(), report.sender().address());
        for (Member each : report.members()) {
            Peer named = learn(each.address(), false, nowMillis);
            if (named != null && named.member().isEmpty()) {
                named.named(each);
                mAddresses.put(each.instance(), each.address());
            }
        }
        mVouching.heard(report.sender().address(), report.members(), nowMillis);
        if (!mLive.contains(report.sender()) || !report.members().isEmpty()) {
            mViewMillis = Long.MIN_VALUE / 2;
        }
        return true;
    }

    /** Notes that an instance sent something that is no report. */
    public void messageReceived(String address, long nowMillis) {
        Optional.ofNullable(mPeers.get(address)).ifPresent(peer -> peer.heard(nowMillis));
    }

    private Peer learn(String address, boolean seed, long nowMillis) {
        return address.equals(mSelf.address())
                ? null
                : mPeers.computeIfAbsent(address, each -> new Peer(seed, nowMillis));
    }

    /** Returns who is to be told something now; they count as told. */
    public List<PendingReport> reportsDue(long nowMillis) {
        refreshView(nowMillis);
        Map<String, PendingReport> due = new HashMap<>();
        reply(due, nowMillis);
        greetSilent(due, nowMillis);
        tellDispatchers(due, nowMillis);
        return reportSent(due, nowMillis);
    }

    /** Returns who asked for a reply and is to get it now; they count as told. */
    public List<PendingReport> repliesDue(long nowMillis) {
        Map<String, PendingReport> due = new HashMap<>();
        reply(due, nowMillis);
        return reportSent(due, nowMillis);
    }

    private void reply(Map<String, PendingReport> due, long nowMillis) {
        mPeers.forEach(
                (address, peer) -> {
                    if (peer.replyDue() && peer.sinceToldMillis(nowMillis) >= REPLY_MILLIS) {
                        add(PendingReport.reply(address), due);
                    }
                });
    }

    private List<PendingReport> reportSent(Map<String, PendingReport> due, long nowMillis) {
        due.values().forEach(each -> reportSent(each, nowMillis));
        return List.copyOf(due.values());
    }

    private static void add(PendingReport telling, Map<String, PendingReport> due) {
        due.merge(telling.address(), telling, PendingReport::merge);
    }

    /** Notes that an instance is told something. */
    public void reportSent(PendingReport telling, long nowMillis) {
        Peer peer = learn(telling.address(), false, nowMillis);
        if (peer != null) {
            peer.told(telling, nowMillis);
        }
    }

    private void greetSilent(Map<String, PendingReport> due, long nowMillis) {
        boolean alone = mLive.size() <= 1;
        int greeted = 0;
        for (Map.Entry<String, Peer> each : mPeers.entrySet()) {
            Peer peer = each.getValue();
            boolean silent = peer.member().filter(mLive::contains).isEmpty();
            long periodMillis = alone && peer.seed() ? ALONE_MILLIS : SILENT_MILLIS;
            if ((silent || peer.suspect(nowMillis))
                    && peer.sinceToldMillis(nowMillis) >= periodMillis
                    && greeted < MOST_GREETED) {
                add(PendingReport.greeting(each.getKey()), due);
                greeted++;
            }
        }
    }

    private void tellDispatchers(Map<String, PendingReport> due, long nowMillis) {
        List<String> order = fitInOrder(mCells.order(mSelf.domain()), nowMillis);
        boolean decides = order.isEmpty() || order.get(0).equals(mSelf.address());
        long periodMillis = Math.min(MOST_DUTY_MILLIS, DUTY_MILLIS + mLive.size());
        boolean mute = !order.isEmpty() && unanswered(order.get(0));
        for (int i = 0; i < Math.min(mute ? PROBED : 2, order.size()); i++) {
            long waitMillis = i == 0 || mute ? periodMillis : STANDBY_PERIODS * periodMillis;
            tell(order.get(i), PendingReport.Content.OWN_USE, waitMillis, due, nowMillis);
        }
        if (decides) {
            for (List<String> other : mCells.otherOrders(mSelf.domain())) {
                fitInOrder(other, nowMillis).stream()
                        .findFirst()
                        .ifPresent(
                                first ->
                                        tell(
                                                first,
                                                PendingReport.Content.WHOLE_USE,
                                                periodMillis,
                                                due,
                                                nowMillis));
            }
        }
    }

    private boolean unanswered(String address) {
        Peer peer = mPeers.get(address);
        return peer != null && peer.unanswered();
    }

    private void tell(
            String address,
            PendingReport.Content content,
            long periodMillis,
            Map<String, PendingReport> due,
            long nowMillis) {
        Peer peer = mPeers.get(address);
        if (peer != null && peer.sinceToldMillis(nowMillis) >= periodMillis) {
            add(PendingReport.use(address, content), due);
        }
    }

    /**
     * Leaves out of an order those that do not answer, and those that decline unless all do. An
     * empty order leaves every instance to itself.
     */
    private List<String> fitInOrder(List<String> order, long nowMillis) {
        List<String> answering =
                order.stream().filter(address -> !suspect(address, nowMillis)).toList();
        List<String> willing =
                answering.stream().filter(address -> !declines(address, nowMillis)).toList();
        return willing.isEmpty() ? answering : willing;
    }

    private boolean suspect(String address, long nowMillis) {
        Peer peer = mPeers.get(address);
        return !address.equals(mSelf.address()) && (peer == null || peer.suspect(nowMillis));
    }

    private boolean declines(String address, long nowMillis) {
        return address.equals(mSelf.address())
                ? mDeclinesDuty
                : mPeers.get(address).declinesDuty(nowMillis);
    }

    /**
     * Returns the instance that decides for this one: all instances that hear each other name the
     * same for a failure domain. In a small fleet it is one for all.
     */
    public InstanceId dispatcher(long nowMillis) {
        if (nowMillis - mDispatcherMillis >= DISPATCHER_MILLIS) {
            mDispatcherMillis = nowMillis;
            refreshView(nowMillis);
            mDispatcher =
                    fitInOrder(mCells.order(mSelf.domain()), nowMillis).stream()
                            .findFirst()
                            .flatMap(this::instance)
                            .orElse(mSelf.instance());
        }
        return mDispatcher;
    }

    private void refreshView(long nowMillis) {
        if (nowMillis - mViewMillis < VIEW_MILLIS) {
            return;
        }
        mViewMillis = nowMillis;
        mPeers.values()
                .removeIf(peer -> !peer.seed() && peer.sinceKnownMillis(nowMillis) > FORGET_MILLIS);
        mAddresses.values().removeIf(address -> !mPeers.containsKey(address));
        Set<String> vouched = mVouching.vouched(nowMillis);
        List<Member> direct = new ArrayList<>(List.of(mSelf));
        Set<Member> live = new HashSet<>(Set.of(mSelf));
        mPeers.forEach(
                (address, peer) -> {
                    boolean heard = peer.sinceHeardMillis(nowMillis) <= HEARD_MILLIS;
                    if (heard) {
                        peer.member().ifPresent(direct::add);
                    }
                    if (heard || vouched.contains(address)) {
                        peer.member().ifPresent(live::add);
                    }
                });
        mDirect = List.copyOf(direct);
        if (!live.equals(mLive)) {
            mLive = Set.copyOf(live);
            mCells = new FleetCells(mLive);
        }
    }

    /** Returns the members to tell an instance, or none if it knows them or was told lately. */
    public List<Member> membersToSend(String address, long nowMillis) {
        Peer peer = mPeers.get(address);
        if (peer == null
                || peer.knownDigest() == ReachabilityReports.digest(mDirect)
                || peer.sinceMembersToldMillis(nowMillis) < MEMBERS_MILLIS) {
            return List.of();
        }
        peer.membersTold(nowMillis);
        return mDirect;
    }

    /** Returns the digest of the members that an instance told last. */
    public long receivedDigest(String address) {
        return mVouching.digestOf(address);
    }

    /** Returns up to which offset an instance knows the list of upstreams. */
    public long listOffset(String address) {
        Peer peer = mPeers.get(address);
        return peer == null ? 0 : peer.listOffset();
    }

    /** Returns this instance as others know it. */
    public Member self() {
        return mSelf;
    }

    /** Returns the address of an instance that was heard of. */
    public Optional<String> address(InstanceId instance) {
        return Optional.ofNullable(mAddresses.get(instance));
    }

    /** Returns the instance at an address. */
    public Optional<InstanceId> instance(String address) {
        return Optional.ofNullable(mPeers.get(address)).flatMap(Peer::member).map(Member::instance);
    }

    /** Returns the addresses of those that this instance hears itself. */
    public List<String> directAddresses(long nowMillis) {
        refreshView(nowMillis);
        return mDirect.stream()
                .map(Member::address)
                .filter(address -> !address.equals(mSelf.address()))
                .toList();
    }

    /** Returns how many other instances are there, as far as is known. */
    public int liveCount(long nowMillis) {
        refreshView(nowMillis);
        return mLive.size() - 1;
    }
}
