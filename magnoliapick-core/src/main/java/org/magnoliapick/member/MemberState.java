package org.magnoliapick.member;

/** The state of an entry instance or an upstream. */
public enum MemberState {
    /** Serves and takes new work. */
    LIVE(true),
    /** Finishes what it has and takes no new work. Never returns to live in one incarnation. */
    LEAVING(false),
    /** Has not been heard of for longer than the suspicion time. */
    SUSPECT(false);

    private final boolean mTakesNewWork;

    MemberState(boolean takesNewWork) {
        mTakesNewWork = takesNewWork;
    }

    /** Returns whether new work may be sent to a member in this state. */
    public boolean takesNewWork() {
        return mTakesNewWork;
    }
}
