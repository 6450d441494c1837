package org.magnoliapick.member;

/** The state of one upstream in the member table. The list is its only source: no heartbeats. */
final class UpstreamEntry {
    private static final long NEVER = -1;

    final Absence mMissing = new Absence();
    private UpstreamMember mListed;
    private boolean mLeaving;
    private long mLiveSinceMillis = NEVER;

    UpstreamEntry(UpstreamMember listed) {
        mListed = listed;
    }

    void applyListed(UpstreamMember member, long nowMillis) {
        if (addressChanged(member)) {
            // A new address means a new process.
            mLeaving = false;
        }
        mListed = member;
        if (member.state() == MemberState.LEAVING) {
            mLeaving = true;
            mLiveSinceMillis = NEVER;
        } else if (mLiveSinceMillis == NEVER) {
            mLiveSinceMillis = nowMillis;
        } else if (nowMillis - mLiveSinceMillis >= MemberTable.UPSTREAM_RETURN_MILLIS) {
            mLeaving = false;
        }
    }

    private boolean addressChanged(UpstreamMember member) {
        return member.port() != mListed.port() || !member.host().equals(mListed.host());
    }

    UpstreamMember toMember(long nowMillis) {
        return new UpstreamMember(
                mListed.id(),
                mListed.domain(),
                mListed.kind(),
                mListed.targets(),
                mListed.host(),
                mListed.port(),
                state(nowMillis));
    }

    /** Returns the state; an upstream is suspected once it stays missing from the list. */
    private MemberState state(long nowMillis) {
        if (mLeaving) {
            return MemberState.LEAVING;
        }
        return mMissing.longerThan(MemberTable.MISSING_GRACE_MILLIS, nowMillis)
                ? MemberState.SUSPECT
                : MemberState.LIVE;
    }
}
