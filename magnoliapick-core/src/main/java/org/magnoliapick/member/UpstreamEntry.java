package org.magnoliapick.member;

/** What the table knows of one upstream. It sends no heartbeats; only the list speaks of it. */
final class UpstreamEntry {
    private static final long NEVER = -1;

    final Absence mMissing = new Absence();
    private UpstreamMember mListed;
    private boolean mLeaving;
    private long mLiveSinceMillis = NEVER;

    UpstreamEntry(UpstreamMember listed) {
        mListed = listed;
    }

    void listed(UpstreamMember member, long nowMillis) {
        if (movedTo(member)) {
            // Another address is another process.
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

    private boolean movedTo(UpstreamMember member) {
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

    private MemberState state(long nowMillis) {
        if (mLeaving) {
            return MemberState.LEAVING;
        }
        return mMissing.longerThan(MemberTable.MISSING_GRACE_MILLIS, nowMillis)
                ? MemberState.SUSPECT
                : MemberState.LIVE;
    }
}
