package org.magnoliapick.quarantine;

import java.util.List;

/**
 * What an instance tells another one of a suspected prompt part.
 *
 * @param part the part
 * @param sightings the crashes, with times of the sender's clock
 */
public record SuspectReport(PartKey part, List<Sighting> sightings) {
    /** Copies the list. */
    public SuspectReport {
        sightings = List.copyOf(sightings);
    }
}
