package org.magnoliapick.quarantine;

import java.util.List;

/**
 * The suspected prompt parts and fingerprints that changed at the sender since a version.
 *
 * @param version the sender's version that the receiver knows afterwards
 * @param suspects those that changed
 */
public record SuspectUpdate(long version, List<SuspectReport> suspects) {
    /** Copies the list. */
    public SuspectUpdate {
        suspects = List.copyOf(suspects);
    }
}
