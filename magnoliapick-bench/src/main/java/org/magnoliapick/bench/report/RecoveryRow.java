package org.magnoliapick.bench.report;

import java.util.OptionalDouble;

/**
 * How long a policy took to be back in bounds after a fault ended.
 *
 * @param fault the fault
 * @param target the model or plain service
 * @param gapSeconds until the gap was in bounds, in seconds; empty if it was not before the end
 * @param utilisationSeconds until utilisation was in bounds, in seconds; empty if it was not
 */
public record RecoveryRow(
        String fault,
        String target,
        OptionalDouble gapSeconds,
        OptionalDouble utilisationSeconds) {}
