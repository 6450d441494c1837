package org.magnoliapick.gateway;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * The platform's fields in the head of an upstream's response.
 *
 * @param id the identifier of the attempt that the response belongs to
 * @param notRun whether the upstream states that it did not run the request
 * @param signed whether the response carries the upstream's signature
 * @param rateLimit the requests per second that the upstream takes from all instances together, if
 *     it names a limit
 * @param leaving whether the upstream states that it is leaving
 * @param pauseMillis how long the upstream, which refuses the request, wants no others of this
 *     instance, in milliseconds
 * @param coldLeftMillis how much longer the upstream is cold, if it states that, in milliseconds
 */
public record ResponseHead(
        Optional<String> id,
        boolean notRun,
        boolean signed,
        OptionalDouble rateLimit,
        boolean leaving,
        OptionalLong pauseMillis,
        OptionalLong coldLeftMillis) {
    /** Creates a head that does not state whether the upstream is cold. */
    public ResponseHead(
            Optional<String> id,
            boolean notRun,
            boolean signed,
            OptionalDouble rateLimit,
            boolean leaving,
            OptionalLong pauseMillis) {
        this(id, notRun, signed, rateLimit, leaving, pauseMillis, OptionalLong.empty());
    }
}
