package org.magnoliapick.route;

/** What a route's requests allow. */
public enum RouteKind {
    /** May run more than once. */
    SAFE(true, false),
    /** Runs at most once. */
    UNSAFE(false, false),
    /** Answers with a series of events; runs at most once unless the route may be resumed. */
    STREAM(false, true);

    private final boolean mRepeatable;
    private final boolean mStreamed;

    RouteKind(boolean repeatable, boolean streamed) {
        mRepeatable = repeatable;
        mStreamed = streamed;
    }

    /** Returns whether a request of this kind may run again by itself. */
    public boolean idempotent() {
        return mRepeatable;
    }

    /** Returns whether the answer is relayed event by event. */
    public boolean streamed() {
        return mStreamed;
    }
}
