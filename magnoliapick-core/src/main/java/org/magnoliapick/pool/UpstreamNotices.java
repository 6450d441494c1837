package org.magnoliapick.pool;

import java.util.Optional;
import org.magnoliapick.limit.ColdUpdate;
import org.magnoliapick.limit.PauseUpdate;

/**
 * The part of a datagram with what upstreams stated about themselves, and what the operator stated
 * about their failure domains.
 *
 * @param leaving the leaving upstreams that the receiver does not know of
 * @param pauses the pauses that upstreams asked the sender for, if the receiver decides for it
 * @param evacuations the changes of evacuated failure domains that the receiver does not know of
 * @param cold the cold upstreams that the receiver does not know of
 */
public record UpstreamNotices(
        Optional<LeavingUpdate> leaving,
        Optional<PauseUpdate> pauses,
        Optional<EvacuationUpdate> evacuations,
        Optional<ColdUpdate> cold) {
    /** Nothing that the receiver lacks. */
    public static final UpstreamNotices NONE =
            new UpstreamNotices(
                    Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());
}
