package org.magnoliapick.route;

/** Retry safety and response type of a route's requests. */
public enum RouteKind {
    /** Idempotent: may be executed more than once. */
    SAFE(true, false),
    /** Not idempotent: is executed at most once. */
    UNSAFE(false, false),
    /** Responds with a stream of events; is executed at most once unless the route is resumable. */
    STREAM(false, true);

    private final boolean mIdempotent;
    private final boolean mStreamed;

    RouteKind(boolean idempotent, boolean streamed) {
        mIdempotent = idempotent;
        mStreamed = streamed;
    }

    /** Returns whether requests of this kind may be retried regardless of other route settings. */
    public boolean idempotent() {
        return mIdempotent;
    }

    /** Returns whether the response is relayed event by event. */
    public boolean streamed() {
        return mStreamed;
    }
}
