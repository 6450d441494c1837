package org.magnoliapick.request;

/** Where a request stands between its arrival and its final answer. */
public enum RequestState {
    /** Read from the caller; not yet admitted. */
    RECEIVED(false, false),
    /** Waits for its claim to be decided by the log. */
    CLAIMING(false, false),
    /** Waits for a slot. */
    QUEUED(false, false),
    /** Holds a slot; no byte has left for the upstream. */
    GRANTED(true, false),
    /** The first byte may have left for the upstream. */
    SENT(true, false),
    /** The head of the answer has arrived. */
    ANSWERING(true, false),
    /** The caller has got the whole answer. */
    WHOLE(false, true),
    /** The caller has got an error, or has gone away. */
    FAILED(false, true);

    private final boolean mHoldsSlot;
    private final boolean mFinal;

    RequestState(boolean holdsSlot, boolean isFinal) {
        mHoldsSlot = holdsSlot;
        mFinal = isFinal;
    }

    /** Returns whether the request holds a slot of an upstream. */
    public boolean holdsSlot() {
        return mHoldsSlot;
    }

    /** Returns whether the request has ended. */
    public boolean isFinal() {
        return mFinal;
    }
}
