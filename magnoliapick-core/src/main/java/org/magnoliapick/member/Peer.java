package org.magnoliapick.member;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import org.magnoliapick.pool.InstanceReport;

/** What this instance knows of another one: its last report and the messages in between. */
final class Peer {
    /** The time without a reply after which an instance is suspected, in milliseconds. */
    private static final long SUSPECT_AFTER_MILLIS = 600;

    /**
     * The number of requests without a reply for an instance to be suspected. It is more than one
     * because a datagram may get lost.
     */
    private static final int SUSPECT_AFTER_REQUESTS = 3;

    /** How long a suspected instance is not eligible as dispatcher, in milliseconds. */
    private static final long SUSPECT_HOLD_MILLIS = 1_500;

    /**
     * How long a declined dispatcher role holds after the last message, in milliseconds: some
     * periods of the probes to candidates that decline it.
     */
    private static final long DECLINE_VALID_MILLIS = 3_000;

    /** How long datagrams of a finished incarnation may still arrive, in milliseconds. */
    private static final long OLD_INCARNATION_MILLIS = 500;

    /**
     * The time of an event that has not happened. It is half the minimum, so that the time since it
     * does not overflow.
     */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final boolean mSeed;
    private final long mCreatedMillis;
    private Optional<Member> mMember = Optional.empty();
    private Optional<InstanceReport> mReport = Optional.empty();
    private long mReceivedMillis = NEVER;
    private long mSentMillis = NEVER;
    private long mMembersSentMillis = NEVER;
    private final Map<UpdateSubject, UpdateExchange> mExchanges =
            new EnumMap<>(UpdateSubject.class);
    private long mFirstUnansweredMillis;
    private int mUnanswered;
    private long mSuspectUntilMillis = NEVER;
    private boolean mReplyDue;

    Peer(boolean seed, long nowMillis) {
        mSeed = seed;
        mCreatedMillis = nowMillis;
        for (UpdateSubject subject : UpdateSubject.values()) {
            mExchanges.put(subject, new UpdateExchange(subject));
        }
    }

    void setMember(Member member) {
        mMember = Optional.of(member);
    }

    /** Applies a report; returns false if it is outdated and was ignored. */
    boolean acceptReport(InstanceReport report, long nowMillis) {
        if (mReport.isPresent() && !supersedes(report, mReport.get(), nowMillis)) {
            return false;
        }
        if (mReport.filter(each -> each.startedMillis() != report.startedMillis()).isPresent()) {
            mExchanges.values().forEach(each -> each.received(0));
        }
        setMember(report.sender());
        mReport = Optional.of(report);
        mExchanges.forEach(
                (subject, each) ->
                        each.known(Optional.ofNullable(report.knownVersions().get(subject))));
        mReplyDue |= report.wantsReply();
        messageReceived(nowMillis);
        return true;
    }

    /**
     * Returns whether a report replaces the known one. A restarted instance whose clock was set
     * back reports an earlier start than its last incarnation; it is accepted once datagrams of
     * that incarnation no longer arrive.
     */
    private boolean supersedes(InstanceReport report, InstanceReport known, long nowMillis) {
        boolean otherIncarnation = report.startedMillis() != known.startedMillis();
        return report.newerThan(known)
                || (otherIncarnation && sinceReceivedMillis(nowMillis) > OLD_INCARNATION_MILLIS);
    }

    void messageReceived(long nowMillis) {
        mReceivedMillis = nowMillis;
        mUnanswered = 0;
    }

    void reportSent(PendingReport report, long nowMillis) {
        mSentMillis = nowMillis;
        mReplyDue &= !report.isReply();
        if (report.wantsReply()) {
            if (mUnanswered == 0) {
                mFirstUnansweredMillis = nowMillis;
            }
            mUnanswered++;
        }
    }

    void membersSent(long nowMillis) {
        mMembersSentMillis = nowMillis;
    }

    /** Returns the state of the exchange on a subject. */
    UpdateExchange exchange(UpdateSubject subject) {
        return mExchanges.get(subject);
    }

    /** Returns whether the instance does not reply, or did not until recently. */
    boolean isSuspect(long nowMillis) {
        if (mUnanswered >= SUSPECT_AFTER_REQUESTS
                && nowMillis - mFirstUnansweredMillis > SUSPECT_AFTER_MILLIS) {
            mSuspectUntilMillis = nowMillis + SUSPECT_HOLD_MILLIS;
        }
        return nowMillis < mSuspectUntilMillis;
    }

    /** Returns whether nothing was received since a report that wants a reply was sent. */
    boolean awaitsReply() {
        return mUnanswered > 0;
    }

    /** Returns whether the instance recently declined the dispatcher role. */
    boolean declinesDispatcherRole(long nowMillis) {
        return sinceReceivedMillis(nowMillis) <= DECLINE_VALID_MILLIS
                && mReport.map(InstanceReport::declinesDispatcherRole).orElse(false);
    }

    boolean isSeed() {
        return mSeed;
    }

    boolean isReplyDue() {
        return mReplyDue;
    }

    Optional<Member> member() {
        return mMember;
    }

    /** Returns the digest of the members that the instance last received from this one. */
    long knownDigest() {
        return mReport.map(InstanceReport::knownDigest).orElse(0L);
    }

    /** Returns up to where the instance knows the store's logs. */
    StorePosition storePosition() {
        return mReport.map(InstanceReport::storePosition).orElse(StorePosition.UNKNOWN);
    }

    long sinceReceivedMillis(long nowMillis) {
        return nowMillis - mReceivedMillis;
    }

    long sinceSentMillis(long nowMillis) {
        return nowMillis - mSentMillis;
    }

    long sinceMembersSentMillis(long nowMillis) {
        return nowMillis - mMembersSentMillis;
    }

    /** Returns the time since the instance became known or last sent a message. */
    long idleMillis(long nowMillis) {
        return Math.min(nowMillis - mCreatedMillis, sinceReceivedMillis(nowMillis));
    }
}
