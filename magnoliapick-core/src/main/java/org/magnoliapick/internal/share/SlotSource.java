package org.magnoliapick.internal.share;

import java.util.Optional;
import org.magnoliapick.share.QueuedRequest;

/** Says where a request could start now. */
interface SlotSource {
    /** Finds an upstream that may take the request now. */
    Optional<Upstream> find(QueuedRequest request);
}
