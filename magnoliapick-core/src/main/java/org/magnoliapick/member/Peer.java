package org.magnoliapick.member;

import java.util.Optional;
import org.magnoliapick.pool.InstanceReport;

/** What is known of another instance. */
final class Peer {
    /** After how long without an answer an instance is suspected to be out, in milliseconds. */
    private static final long SUSPECT_MILLIS = 600;

    /** How many questions without an answer make an instance suspect: one may get lost. */
    private static final int SUSPECT_QUESTIONS = 3;

    /** How long a suspected instance gets no duty again, in milliseconds. */
    private static final long SHUN_MILLIS = 1_500;

    /** How long it counts that an instance declined a duty, in milliseconds. */
    private static final long DECLINED_MILLIS = 1_000;

    /** How long datagrams of a life that ended may still arrive, in milliseconds. */
    private static final long OLD_LIFE_MILLIS = 500;

    private final boolean mSeed;
    private final long mKnownMillis;
    private Optional<Member> mMember = Optional.empty();
    private Optional<InstanceReport> mReport = Optional.empty();
    private long mHeardMillis = Long.MIN_VALUE / 2;
    private long mToldMillis = Long.MIN_VALUE / 2;
    private long mMembersToldMillis = Long.MIN_VALUE / 2;
    private long mFirstUnansweredMillis;
    private int mUnanswered;
    private long mShunnedUntilMillis = Long.MIN_VALUE / 2;
    private boolean mReplyDue;

    Peer(boolean seed, long nowMillis) {
        mSeed = seed;
        mKnownMillis = nowMillis;
    }

    void named(Member member) {
        mMember = Optional.of(member);
    }

    /** Takes a report; returns whether it is news. */
    boolean heard(InstanceReport report, long nowMillis) {
        if (mReport.isPresent() && !isNews(report, mReport.get(), nowMillis)) {
            return false;
        }
        named(report.sender());
        mReport = Optional.of(report);
        mReplyDue |= report.wantsReply();
        heard(nowMillis);
        return true;
    }

    /** A new life may say that it began earlier than the last one: its clock was set back. */
    private boolean isNews(InstanceReport report, InstanceReport known, long nowMillis) {
        boolean otherLife = report.startedMillis() != known.startedMillis();
        return report.newerThan(known)
                || (otherLife && sinceHeardMillis(nowMillis) > OLD_LIFE_MILLIS);
    }

    void heard(long nowMillis) {
        mHeardMillis = nowMillis;
        mUnanswered = 0;
    }

    void told(PendingReport telling, long nowMillis) {
        mToldMillis = nowMillis;
        mReplyDue &= !telling.isReply();
        if (telling.wantsReply()) {
            if (mUnanswered == 0) {
                mFirstUnansweredMillis = nowMillis;
            }
            mUnanswered++;
        }
    }

    void membersTold(long nowMillis) {
        mMembersToldMillis = nowMillis;
    }

    /** Returns whether it does not answer, or did not until lately. */
    boolean suspect(long nowMillis) {
        if (mUnanswered >= SUSPECT_QUESTIONS
                && nowMillis - mFirstUnansweredMillis > SUSPECT_MILLIS) {
            mShunnedUntilMillis = nowMillis + SHUN_MILLIS;
        }
        return nowMillis < mShunnedUntilMillis;
    }

    /** Returns whether it has not answered yet what it was asked last. */
    boolean unanswered() {
        return mUnanswered > 0;
    }

    /** Returns whether it said of late that it does not want to decide for others. */
    boolean declinesDuty(long nowMillis) {
        return sinceHeardMillis(nowMillis) <= DECLINED_MILLIS
                && mReport.map(InstanceReport::declinesDuty).orElse(false);
    }

    boolean seed() {
        return mSeed;
    }

    boolean replyDue() {
        return mReplyDue;
    }

    Optional<Member> member() {
        return mMember;
    }

    /** Returns the digest of the members that it was told from here last. */
    long knownDigest() {
        return mReport.map(InstanceReport::knownDigest).orElse(0L);
    }

    /** Returns up to which offset it knows the list of upstreams. */
    long listOffset() {
        return mReport.map(InstanceReport::listOffset).orElse(0L);
    }

    long sinceHeardMillis(long nowMillis) {
        return nowMillis - mHeardMillis;
    }

    long sinceToldMillis(long nowMillis) {
        return nowMillis - mToldMillis;
    }

    long sinceMembersToldMillis(long nowMillis) {
        return nowMillis - mMembersToldMillis;
    }

    long sinceKnownMillis(long nowMillis) {
        return Math.min(nowMillis - mKnownMillis, sinceHeardMillis(nowMillis));
    }
}
