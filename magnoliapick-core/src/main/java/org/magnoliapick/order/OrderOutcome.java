package org.magnoliapick.order;

/** The outcome of an order. */
public enum OrderOutcome {
    /** The engine executed the order or has started to. */
    ACCEPTED(true),
    /** The engine rejected the fencing number as outdated. */
    FENCED(false),
    /** The engine refused the order for another reason, or the order was not sent. */
    REFUSED(false),
    /** No response arrived: the engine may execute the order now or later. */
    UNKNOWN(true);

    private final boolean mMayTakeEffect;

    OrderOutcome(boolean mayTakeEffect) {
        mMayTakeEffect = mayTakeEffect;
    }

    /** Returns whether the engine may have executed the order or may still execute it. */
    public boolean mayTakeEffect() {
        return mMayTakeEffect;
    }
}
