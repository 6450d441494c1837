package org.magnoliapick.quarantine;

import java.util.List;

/**
 * What an instance tells another one of a suspected prompt part or fingerprint.
 *
 * @param key the part or the fingerprint
 * @param sightings the crashes, with times of the sender's clock
 */
public record SuspectReport(SuspectKey key, List<Sighting> sightings) {
    /** Copies the list. */
    public SuspectReport {
        sightings = List.copyOf(sightings);
    }
}
