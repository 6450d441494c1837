package org.magnoliapick.gateway.internal.peer;

import org.magnoliapick.member.StorePosition;
import org.magnoliapick.member.StoreUpdate;

/** Receives what other instances know of the store. */
public interface StorePeers {
    /** Another instance reported up to where it knows the store's logs. */
    void positionReported(StorePosition position);

    /** An instance that reads the store for others sent what it read. */
    void updateReceived(StoreUpdate update);
}
