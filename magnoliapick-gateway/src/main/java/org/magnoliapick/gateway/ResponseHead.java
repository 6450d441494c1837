package org.magnoliapick.gateway;

import java.util.Optional;

/**
 * The platform's fields in the head of an upstream's response.
 *
 * @param id the identifier of the attempt that the response belongs to
 * @param notRun whether the upstream states that it did not run the request
 * @param signed whether the response carries the upstream's signature
 */
public record ResponseHead(Optional<String> id, boolean notRun, boolean signed) {}
