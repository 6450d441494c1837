package org.magnoliapick.pool;

import java.util.Optional;

/**
 * The part of a datagram with what upstreams stated about themselves.
 *
 * @param leaving the leaving upstreams that the receiver does not know of
 */
public record UpstreamNotices(Optional<LeavingUpdate> leaving) {
    /** Nothing that the receiver lacks. */
    public static final UpstreamNotices NONE = new UpstreamNotices(Optional.empty());
}
