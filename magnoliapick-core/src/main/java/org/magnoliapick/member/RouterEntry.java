package org.magnoliapick.member;

import java.util.Optional;
import org.magnoliapick.lib.FailureDomain;

/** The state of one router in the member table. */
final class RouterEntry {
    final Absence mMissing = new Absence();
    long mIncarnation;
    private Optional<RouterMember> mListed = Optional.empty();
    private boolean mLeaving;
    private long mAliveAtMillis;

    RouterEntry(long nowMillis) {
        mAliveAtMillis = nowMillis;
    }

    void applyListed(RouterMember member, long nowMillis) {
        if (member.incarnation() > mIncarnation) {
            startIncarnation(member.incarnation(), nowMillis);
        }
        boolean current = member.incarnation() == 0 || member.incarnation() == mIncarnation;
        if (current || mListed.isEmpty()) {
            mListed = Optional.of(member);
        }
        // A listed leaving mark without an incarnation may be left over from an earlier process.
        if (member.state() == MemberState.LEAVING && current && !knownLiveIncarnation(member)) {
            mLeaving = true;
        }
    }

    private boolean knownLiveIncarnation(RouterMember member) {
        return member.incarnation() == 0 && mIncarnation != 0 && !mLeaving;
    }

    void heartbeatReceived(long incarnation, boolean leaving, long nowMillis) {
        if (incarnation < mIncarnation) {
            return;
        }
        if (incarnation > mIncarnation) {
            startIncarnation(incarnation, nowMillis);
        }
        mLeaving |= leaving;
        markAlive(nowMillis);
    }

    private void startIncarnation(long incarnation, long nowMillis) {
        mIncarnation = incarnation;
        mLeaving = false;
        markAlive(nowMillis);
    }

    void markAlive(long nowMillis) {
        mAliveAtMillis = Math.max(mAliveAtMillis, nowMillis);
    }

    boolean hasAddress() {
        return mListed.isPresent();
    }

    /** Returns whether the router can be removed: no heartbeats, and missing from the list. */
    boolean isGone(long nowMillis) {
        boolean heartbeatsStopped = nowMillis - mAliveAtMillis > MemberTable.SUSPECT_AFTER_MILLIS;
        return heartbeatsStopped && mMissing.longerThan(MemberTable.FORGET_AFTER_MILLIS, nowMillis);
    }

    /** Returns the failure domain; absent until the router was listed. */
    Optional<FailureDomain> domain() {
        return mListed.map(RouterMember::domain);
    }

    RouterMember toMember(long suspectAfterMillis, long nowMillis) {
        RouterMember listed = mListed.orElseThrow();
        return new RouterMember(
                listed.id(),
                mIncarnation,
                listed.domain(),
                listed.host(),
                listed.peerPort(),
                state(suspectAfterMillis, nowMillis));
    }

    private MemberState state(long suspectAfterMillis, long nowMillis) {
        if (mLeaving) {
            return MemberState.LEAVING;
        }
        boolean heartbeatsStopped = nowMillis - mAliveAtMillis > suspectAfterMillis;
        return heartbeatsStopped ? MemberState.SUSPECT : MemberState.LIVE;
    }
}
