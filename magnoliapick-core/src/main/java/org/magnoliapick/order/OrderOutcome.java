package org.magnoliapick.order;

/** How an order ended. */
public enum OrderOutcome {
    /** The engine obeyed or has begun to. */
    ACCEPTED(true),
    /** The fencing number was old. */
    FENCED(false),
    /** The engine refused the order for another reason, or it was not sent. */
    REFUSED(false),
    /** No answer came: the engine may obey now or later. */
    UNKNOWN(true);

    private final boolean mMayTakeEffect;

    OrderOutcome(boolean mayTakeEffect) {
        mMayTakeEffect = mayTakeEffect;
    }

    /** Returns whether the engine may have obeyed or may still obey. */
    public boolean mayTakeEffect() {
        return mMayTakeEffect;
    }
}
