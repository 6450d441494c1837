package org.magnoliapick.pool;

import java.util.List;

/**
 * What the sender learned of evacuated failure domains since a version.
 *
 * @param version the sender's version that the receiver knows afterwards
 * @param evacuations the newest state of each changed domain
 */
public record EvacuationUpdate(long version, List<DomainEvacuation> evacuations) {
    /** Copies the list. */
    public EvacuationUpdate {
        evacuations = List.copyOf(evacuations);
    }
}
