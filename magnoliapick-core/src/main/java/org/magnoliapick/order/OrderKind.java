package org.magnoliapick.order;

/** What an order does. */
public enum OrderKind {
    /** Loads a model version. */
    LOAD_MODEL(true, false),
    /** Drops a model version. */
    UNLOAD_MODEL(false, true),
    /** Loads an adapter. */
    LOAD_ADAPTER(true, false),
    /** Drops an adapter. */
    UNLOAD_ADAPTER(false, true),
    /** Changes the role. */
    SET_ROLE(false, false);

    private final boolean mReadsWeights;
    private final boolean mDrops;

    OrderKind(boolean readsWeights, boolean drops) {
        mReadsWeights = readsWeights;
        mDrops = drops;
    }

    /** Returns whether the engine reads from the weight store to obey. */
    public boolean readsWeights() {
        return mReadsWeights;
    }

    /** Returns whether the engine holds less after it has obeyed. */
    public boolean unloads() {
        return mDrops;
    }
}
