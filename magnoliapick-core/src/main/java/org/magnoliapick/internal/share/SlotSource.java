package org.magnoliapick.internal.share;

import java.util.Optional;
import org.magnoliapick.share.QueuedRequest;

/** Chooses upstreams with a free slot for queued requests. */
interface SlotSource {
    /** Returns an upstream where the request can start now, or empty if there is none. */
    Optional<Upstream> find(QueuedRequest request);
}
