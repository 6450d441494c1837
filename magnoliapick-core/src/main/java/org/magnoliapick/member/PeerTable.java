package org.magnoliapick.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.pool.FleetShare;
import org.magnoliapick.pool.InstanceReport;

/**
 * Tracks the other instances, chooses the dispatcher of this instance and schedules its reports.
 * The number of reports that an instance sends does not grow with the fleet: it reports to its
 * dispatcher and the next candidate, and learns the other members from their replies.
 *
 * <p>An instance is live if this one received a message from it recently, or if another one reports
 * that it did. Instances that are not live or do not reply are probed periodically, so that a
 * healed partition or a restart is detected from either side.
 */
public final class PeerTable {
    /** The shortest period of reports to a dispatcher, used in a small fleet, in milliseconds. */
    private static final long MIN_REPORT_PERIOD_MILLIS = 100;

    /** The longest period of reports to a dispatcher, used in a large fleet, in milliseconds. */
    private static final long MAX_REPORT_PERIOD_MILLIS = 200;

    /** The period of reports to the next candidate, in report periods of the dispatcher. */
    private static final int STANDBY_PERIODS = 2;

    /**
     * The period of probes to an instance that is not live, does not reply or declines the
     * dispatcher role, in milliseconds.
     */
    private static final long PROBE_PERIOD_MILLIS = 1_000;

    /** The period of probes to a seed until any other instance is live, in milliseconds. */
    private static final long SEED_PROBE_PERIOD_MILLIS = 200;

    /** The maximum number of instances that are probed at once; bounds the cost. */
    private static final int MAX_PROBES = 8;

    /** How long after its last message an instance is directly reachable, in milliseconds. */
    private static final long MESSAGE_TIMEOUT_MILLIS = 2_000;

    /**
     * The time without a message after which an instance may have been cut off and decide by
     * itself, in milliseconds: several periods of the reports to a dispatcher, some of which may be
     * lost.
     */
    private static final long RECENT_MESSAGE_MILLIS = 500;

    /** How long another instance's list of reachable instances is valid, in milliseconds. */
    private static final long REACHABLE_VALID_MILLIS = 6_000;

    /**
     * The number of candidates, the dispatcher included, that get reports while the dispatcher has
     * not replied.
     */
    private static final int MAX_CANDIDATES = 4;

    /** The time without a message after which a peer other than a seed is removed. */
    private static final long FORGET_AFTER_MILLIS = 60_000;

    /** The minimum time between the last report to an instance and a reply, in milliseconds. */
    private static final long MIN_REPLY_DELAY_MILLIS = 20;

    /** The minimum time between two lists of members to one instance, in milliseconds. */
    private static final long MEMBERS_PERIOD_MILLIS = 500;

    /** How long the chosen dispatcher is cached, in milliseconds. */
    private static final long DISPATCHER_CACHE_MILLIS = 10;

    /** How long the set of live members is cached, in milliseconds. */
    private static final long VIEW_CACHE_MILLIS = 50;

    /**
     * The time of an event that has not happened. It is half the minimum, so that the time since it
     * does not overflow.
     */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Member mSelf;
    private final Map<String, Peer> mPeers = new HashMap<>();
    private final Map<InstanceId, String> mAddresses = new HashMap<>();
    private final ReachabilityReports mReachability =
            new ReachabilityReports(REACHABLE_VALID_MILLIS);

    /** The live members by cell; each cell has its own dispatcher. */
    private FleetCells mCells;

    /** This instance and those from which it recently received a message itself. */
    private List<Member> mDirectlyReachable;

    private Set<Member> mLive = Set.of();
    private long mViewMillis = NEVER;
    private boolean mDeclinesDispatcherRole;
    private InstanceId mDispatcher;
    private long mDispatcherMillis = NEVER;

    /**
     * Creates a table that holds only the seeds. Until another instance is live, this one forms the
     * only cell and is its own dispatcher.
     *
     * @param self this instance, which is never sent a report
     * @param seeds the addresses of instances to contact first
     */
    public PeerTable(Member self, Collection<String> seeds, long nowMillis) {
        mSelf = self;
        mDispatcher = self.instance();
        mDirectlyReachable = List.of(self);
        mCells = new FleetCells(List.of(self));
        seeds.forEach(seed -> getOrAdd(seed, true, nowMillis));
    }

    /** Sets whether this instance declines the dispatcher role. */
    public void setDeclinesDispatcherRole(boolean declines) {
        mDeclinesDispatcherRole = declines;
    }

    /** Returns whether this instance declines the dispatcher role. */
    public boolean declinesDispatcherRole() {
        return mDeclinesDispatcherRole;
    }

    /** Applies a report; returns false if it is outdated and was ignored. */
    public boolean acceptReport(InstanceReport report, long nowMillis) {
        Peer peer = getOrAdd(report.sender().address(), false, nowMillis);
        if (peer == null || !peer.acceptReport(report, nowMillis)) {
            return false;
        }
        mAddresses.put(report.sender().instance(), report.sender().address());
        for (Member each : report.members()) {
            Peer other = getOrAdd(each.address(), false, nowMillis);
            if (other != null && other.member().isEmpty()) {
                other.setMember(each);
                mAddresses.put(each.instance(), each.address());
            }
        }
        mReachability.update(report.sender().address(), report.members(), nowMillis);
        if (!mLive.contains(report.sender()) || !report.members().isEmpty()) {
            mViewMillis = NEVER;
        }
        return true;
    }

    /** Records that an instance sent a message without a report. */
    public void messageReceived(String address, long nowMillis) {
        Optional.ofNullable(mPeers.get(address)).ifPresent(peer -> peer.messageReceived(nowMillis));
    }

    /** Returns the peer at an address, added if unknown; null for this instance's own address. */
    private Peer getOrAdd(String address, boolean seed, long nowMillis) {
        return address.equals(mSelf.address())
                ? null
                : mPeers.computeIfAbsent(address, each -> new Peer(seed, nowMillis));
    }

    /** Returns the reports to send now and marks them as sent. */
    public List<PendingReport> reportsDue(long nowMillis) {
        refreshView(nowMillis);
        Map<String, PendingReport> due = new HashMap<>();
        addReplies(due, nowMillis);
        addProbes(due, nowMillis);
        addProbesOfDeclined(due, nowMillis);
        addUsageReports(due, nowMillis);
        return markSent(due, nowMillis);
    }

    /** Returns the replies to send now and marks them as sent. */
    public List<PendingReport> repliesDue(long nowMillis) {
        Map<String, PendingReport> due = new HashMap<>();
        addReplies(due, nowMillis);
        return markSent(due, nowMillis);
    }

    private void addReplies(Map<String, PendingReport> due, long nowMillis) {
        mPeers.forEach(
                (address, peer) -> {
                    if (peer.isReplyDue()
                            && peer.sinceSentMillis(nowMillis) >= MIN_REPLY_DELAY_MILLIS) {
                        add(PendingReport.reply(address), due);
                    }
                });
    }

    private List<PendingReport> markSent(Map<String, PendingReport> due, long nowMillis) {
        due.values().forEach(each -> reportSent(each, nowMillis));
        return List.copyOf(due.values());
    }

    private static void add(PendingReport report, Map<String, PendingReport> due) {
        due.merge(report.address(), report, PendingReport::merge);
    }

    /** Records that a report is sent to an instance. */
    public void reportSent(PendingReport report, long nowMillis) {
        Peer peer = getOrAdd(report.address(), false, nowMillis);
        if (peer != null) {
            peer.reportSent(report, nowMillis);
        }
    }

    /** Adds probes to instances that are not live, or are suspected since they do not reply. */
    private void addProbes(Map<String, PendingReport> due, long nowMillis) {
        boolean alone = mLive.size() <= 1;
        int probes = 0;
        for (Map.Entry<String, Peer> each : mPeers.entrySet()) {
            Peer peer = each.getValue();
            boolean live = peer.member().filter(mLive::contains).isPresent();
            long periodMillis =
                    alone && peer.isSeed() ? SEED_PROBE_PERIOD_MILLIS : PROBE_PERIOD_MILLIS;
            if ((!live || peer.isSuspect(nowMillis))
                    && peer.sinceSentMillis(nowMillis) >= periodMillis
                    && probes < MAX_PROBES) {
                add(PendingReport.probe(each.getKey()), due);
                probes++;
            }
        }
    }

    /**
     * Adds probes to the first candidates that come before the dispatcher and decline its role, so
     * that this instance learns when they no longer do.
     */
    private void addProbesOfDeclined(Map<String, PendingReport> due, long nowMillis) {
        List<String> order = mCells.dispatcherOrder(mSelf.domain());
        Optional<String> dispatcher = eligible(order, nowMillis).stream().findFirst();
        order.stream()
                .takeWhile(address -> dispatcher.filter(address::equals).isEmpty())
                .filter(address -> !address.equals(mSelf.address()))
                .filter(address -> !isSuspect(address, nowMillis) && declines(address, nowMillis))
                .limit(MAX_CANDIDATES)
                .filter(
                        address ->
                                mPeers.get(address).sinceSentMillis(nowMillis)
                                        >= PROBE_PERIOD_MILLIS)
                .forEach(address -> add(PendingReport.probe(address), due));
    }

    private void addUsageReports(Map<String, PendingReport> due, long nowMillis) {
        List<String> candidates = eligible(mCells.dispatcherOrder(mSelf.domain()), nowMillis);
        boolean isDispatcher = candidates.isEmpty() || candidates.get(0).equals(mSelf.address());
        // The period grows by one millisecond with each live instance.
        long periodMillis =
                Math.min(MAX_REPORT_PERIOD_MILLIS, MIN_REPORT_PERIOD_MILLIS + mLive.size());
        boolean unanswered = !candidates.isEmpty() && awaitsReply(candidates.get(0));
        for (int i = 0; i < Math.min(unanswered ? MAX_CANDIDATES : 2, candidates.size()); i++) {
            long waitMillis = i == 0 || unanswered ? periodMillis : STANDBY_PERIODS * periodMillis;
            addUsageReport(
                    candidates.get(i), PendingReport.Content.OWN_USE, waitMillis, due, nowMillis);
        }
        if (isDispatcher) {
            for (List<String> other : mCells.otherDispatcherOrders(mSelf.domain())) {
                eligible(other, nowMillis).stream()
                        .findFirst()
                        .ifPresent(
                                first ->
                                        addUsageReport(
                                                first,
                                                PendingReport.Content.WHOLE_USE,
                                                periodMillis,
                                                due,
                                                nowMillis));
            }
        }
    }

    private boolean awaitsReply(String address) {
        Peer peer = mPeers.get(address);
        return peer != null && peer.awaitsReply();
    }

    private void addUsageReport(
            String address,
            PendingReport.Content content,
            long periodMillis,
            Map<String, PendingReport> due,
            long nowMillis) {
        Peer peer = mPeers.get(address);
        if (peer != null && peer.sinceSentMillis(nowMillis) >= periodMillis) {
            add(PendingReport.useReport(address, content), due);
        }
    }

    /**
     * Returns the dispatcher candidates without those that are suspected and, unless all of them
     * decline the role, without those that decline it. If none is left, every instance decides for
     * itself.
     */
    private List<String> eligible(List<String> candidates, long nowMillis) {
        List<String> unsuspected =
                candidates.stream().filter(address -> !isSuspect(address, nowMillis)).toList();
        List<String> willing =
                unsuspected.stream().filter(address -> !declines(address, nowMillis)).toList();
        return willing.isEmpty() ? unsuspected : willing;
    }

    private boolean isSuspect(String address, long nowMillis) {
        Peer peer = mPeers.get(address);
        return !address.equals(mSelf.address()) && (peer == null || peer.isSuspect(nowMillis));
    }

    private boolean declines(String address, long nowMillis) {
        return address.equals(mSelf.address())
                ? mDeclinesDispatcherRole
                : mPeers.get(address).declinesDispatcherRole(nowMillis);
    }

    /**
     * Returns the instance that decides for this one. All instances that receive from each other
     * choose the same dispatcher for a failure domain; a small fleet has a single one.
     */
    public InstanceId dispatcher(long nowMillis) {
        if (nowMillis - mDispatcherMillis >= DISPATCHER_CACHE_MILLIS) {
            mDispatcherMillis = nowMillis;
            refreshView(nowMillis);
            mDispatcher =
                    eligible(mCells.dispatcherOrder(mSelf.domain()), nowMillis).stream()
                            .findFirst()
                            .flatMap(this::instance)
                            .orElse(mSelf.instance());
        }
        return mDispatcher;
    }

    private void refreshView(long nowMillis) {
        if (nowMillis - mViewMillis < VIEW_CACHE_MILLIS) {
            return;
        }
        mViewMillis = nowMillis;
        mPeers.values()
                .removeIf(
                        peer -> !peer.isSeed() && peer.idleMillis(nowMillis) > FORGET_AFTER_MILLIS);
        mAddresses.values().removeIf(address -> !mPeers.containsKey(address));
        Set<String> reachable = mReachability.reachable(nowMillis);
        List<Member> directlyReachable = new ArrayList<>(List.of(mSelf));
        Set<Member> live = new HashSet<>(Set.of(mSelf));
        mPeers.forEach(
                (address, peer) -> {
                    boolean direct = peer.sinceReceivedMillis(nowMillis) <= MESSAGE_TIMEOUT_MILLIS;
                    if (direct) {
                        peer.member().ifPresent(directlyReachable::add);
                    }
                    if (direct || reachable.contains(address)) {
                        peer.member().ifPresent(live::add);
                    }
                });
        mDirectlyReachable = List.copyOf(directlyReachable);
        if (!live.equals(mLive)) {
            mLive = Set.copyOf(live);
            mCells = new FleetCells(mLive);
        }
    }

    /**
     * Returns the members to send to an instance and marks them as sent; empty if the instance is
     * unknown, knows them already or was sent a list recently.
     */
    public List<Member> membersToSend(String address, long nowMillis) {
        Peer peer = mPeers.get(address);
        if (peer == null
                || peer.knownDigest() == ReachabilityReports.digest(mDirectlyReachable)
                || peer.sinceMembersSentMillis(nowMillis) < MEMBERS_PERIOD_MILLIS) {
            return List.of();
        }
        peer.membersSent(nowMillis);
        return mDirectlyReachable;
    }

    /** Returns the digest of the members that an instance last sent; 0 if it sent none. */
    public long receivedDigest(String address) {
        return mReachability.digestFrom(address);
    }

    /** Returns up to where an instance knows the store's logs. */
    public StorePosition storePosition(String address) {
        Peer peer = mPeers.get(address);
        return peer == null ? StorePosition.UNKNOWN : peer.storePosition();
    }

    /** Returns the exchange of updates on a subject with an instance; empty if it is unknown. */
    public Optional<UpdateExchange> exchange(String address, UpdateSubject subject) {
        return Optional.ofNullable(mPeers.get(address)).map(peer -> peer.exchange(subject));
    }

    /** Returns the versions of an instance's updates that were received last. */
    public Map<UpdateSubject, Long> receivedVersions(String address) {
        Map<UpdateSubject, Long> versions = new EnumMap<>(UpdateSubject.class);
        for (UpdateSubject subject : UpdateSubject.values()) {
            exchange(address, subject)
                    .ifPresent(each -> versions.put(subject, each.receivedVersion()));
        }
        return versions;
    }

    /**
     * Returns the part of the fleet for which this instance decides: if it is the dispatcher, the
     * instances from which it recently received a message and the cells whose dispatchers it
     * exchanges reports with, or else only itself. Lost instances count as known until they are
     * forgotten, because they may be cut off.
     */
    public FleetShare share(long nowMillis) {
        boolean isDispatcher = dispatcher(nowMillis).equals(mSelf.instance());
        int known = 1;
        int before = 0;
        for (Map.Entry<String, Peer> each : mPeers.entrySet()) {
            if (each.getValue().member().isPresent()) {
                known++;
                before += each.getKey().compareTo(mSelf.address()) < 0 ? 1 : 0;
            }
        }
        double decided =
                isDispatcher ? mCells.connectedCount(mSelf.domain(), mDirectlyReachable) : 1;
        return new FleetShare(
                decided / known,
                isDispatcher,
                (double) before / known,
                mPeers.size() + 1,
                recentCount(nowMillis));
    }

    /** Returns the number of instances of the own cell with a recent message, self included. */
    private int recentCount(long nowMillis) {
        int count = 1;
        for (String address : mCells.dispatcherOrder(mSelf.domain())) {
            Peer peer = mPeers.get(address);
            boolean recent =
                    peer != null && peer.sinceReceivedMillis(nowMillis) <= RECENT_MESSAGE_MILLIS;
            count += recent ? 1 : 0;
        }
        return count;
    }

    /** Returns this instance as other instances know it. */
    public Member self() {
        return mSelf;
    }

    /** Returns the address of an instance; empty if it is unknown. */
    public Optional<String> address(InstanceId instance) {
        return Optional.ofNullable(mAddresses.get(instance));
    }

    /** Returns the instance at an address; empty if it is unknown. */
    public Optional<InstanceId> instance(String address) {
        return Optional.ofNullable(mPeers.get(address)).flatMap(Peer::member).map(Member::instance);
    }

    /** Returns the addresses of the instances that this one recently received from directly. */
    public List<String> directAddresses(long nowMillis) {
        refreshView(nowMillis);
        return mDirectlyReachable.stream()
                .map(Member::address)
                .filter(address -> !address.equals(mSelf.address()))
                .toList();
    }

    /** Returns the number of other instances that this one knows to be live. */
    public int liveCount(long nowMillis) {
        refreshView(nowMillis);
        return mLive.size() - 1;
    }
}
