package org.magnoliapick.member;

/** The state of a router, that is an entry instance, or of an upstream. */
public enum MemberState {
    /** Serves and takes new work. */
    LIVE(true),
    /** Drains: finishes its work and takes no new work. Final for an incarnation. */
    LEAVING(false),
    /** A router without a heartbeat, or an upstream missing from the list, for too long. */
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
