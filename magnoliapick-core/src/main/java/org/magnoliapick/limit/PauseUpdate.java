package org.magnoliapick.limit;

import java.util.List;

/**
 * The pauses that upstreams asked the sender for since a version.
 *
 * @param version the sender's version that the receiver knows afterwards
 * @param pauses the pauses
 */
public record PauseUpdate(long version, List<UpstreamPause> pauses) {
    /** Copies the list. */
    public PauseUpdate {
        pauses = List.copyOf(pauses);
    }
}
