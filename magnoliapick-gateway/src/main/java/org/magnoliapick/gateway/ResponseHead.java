package org.magnoliapick.gateway;

import java.util.Optional;

/**
 * What the head of an upstream's answer says, beside its status.
 *
 * @param id the identifier of the attempt that it answers
 * @param notRun whether the upstream states that it did not run the request
 * @param signed whether it bears the upstream's signature
 */
public record ResponseHead(Optional<String> id, boolean notRun, boolean signed) {}
