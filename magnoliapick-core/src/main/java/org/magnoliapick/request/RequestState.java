package org.magnoliapick.request;

/** The state of a request between its arrival and its final answer. */
public enum RequestState {
    /** Received from the caller; not yet admitted. */
    RECEIVED(false, false),
    /** Waits for the verdict on its claim or for the kept answer of an earlier claim. */
    CLAIMING(false, false),
    /** Waits for a slot. */
    QUEUED(false, false),
    /** Holds a slot; no byte was sent to the upstream. */
    GRANTED(true, false),
    /** The first byte may have been sent to the upstream. */
    SENT(true, false),
    /** The head of the answer has arrived. */
    ANSWERING(true, false),
    /** The complete answer was received from the upstream or from an earlier run. */
    WHOLE(false, true),
    /** The request ended with an error, or its caller disconnected. */
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
