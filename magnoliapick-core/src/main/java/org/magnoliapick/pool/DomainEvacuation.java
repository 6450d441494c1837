package org.magnoliapick.pool;

import org.magnoliapick.lib.FailureDomain;

/**
 * What a record of the store says of the evacuation of a failure domain.
 *
 * @param domain the failure domain
 * @param evacuated whether nothing more is to be sent to its upstreams
 * @param epoch the epoch of the store's logs that the record was read in
 * @param offset the offset of the record in its topic
 */
public record DomainEvacuation(FailureDomain domain, boolean evacuated, long epoch, long offset) {
    /** Returns whether this is what a later record says, or the same one. */
    boolean isAtLeastAsNewAs(DomainEvacuation other) {
        return epoch > other.epoch || (epoch == other.epoch && offset >= other.offset);
    }
}
