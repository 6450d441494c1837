package org.magnoliapick.gateway.internal.store;

import org.magnoliapick.gateway.StoreTopic;

/** Learns the epochs that the responses of the store name. */
public interface EpochListener {
    /**
     * A response named an epoch; restarts all followers if it is a later one than known.
     *
     * @param nextOffset the next offset of the topic in the epoch known until now
     * @return false if a later epoch is known, so that the response is outdated
     */
    boolean epochNamed(long epoch, StoreTopic topic, long nextOffset);
}
