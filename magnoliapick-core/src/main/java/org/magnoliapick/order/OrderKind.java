package org.magnoliapick.order;

/** The kind of an order. */
public enum OrderKind {
    /** Loads a model version. */
    LOAD_MODEL(true, false),
    /** Unloads a model version. */
    UNLOAD_MODEL(false, true),
    /** Loads an adapter. */
    LOAD_ADAPTER(true, false),
    /** Unloads an adapter. */
    UNLOAD_ADAPTER(false, true),
    /** Changes the role. */
    SET_ROLE(false, false);

    private final boolean mReadsWeights;
    private final boolean mUnloads;

    OrderKind(boolean readsWeights, boolean unloads) {
        mReadsWeights = readsWeights;
        mUnloads = unloads;
    }

    /** Returns whether the engine reads from the weight store to execute the order. */
    public boolean readsWeights() {
        return mReadsWeights;
    }

    /** Returns whether the order unloads a model version or an adapter. */
    public boolean unloads() {
        return mUnloads;
    }
}
