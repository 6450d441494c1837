package org.magnoliapick.bench.scenario;

import org.magnoliapick.lib.TargetKind;

/**
 * Upstreams of one kind in one failure domain.
 *
 * @param name the common start of their names
 * @param kind whether they are model engines or plain services
 * @param target the model or plain service that they serve
 * @param domain their failure domain
 * @param count how many there are
 * @param slots the largest batch, or the workers of a plain service
 * @param stepBaseMicros the time of one decoding step with an empty batch, in microseconds
 * @param stepPerRequestMicros what each request in the batch adds to a step, in microseconds
 */
public record UpstreamGroup(
        String name,
        TargetKind kind,
        String target,
        String domain,
        int count,
        int slots,
        long stepBaseMicros,
        long stepPerRequestMicros) {
    /** One unit of a plain service is a millisecond of a worker, whatever the load. */
    private static final long SERVICE_STEP_MICROS = 1_000;

    /** Makes the units of a plain service milliseconds. */
    public UpstreamGroup {
        if (kind == TargetKind.SERVICE) {
            stepBaseMicros = SERVICE_STEP_MICROS;
            stepPerRequestMicros = 0;
        }
    }

    /** Returns the time of one step in microseconds with so many requests in the batch. */
    public double stepMicros(int running) {
        return stepBaseMicros + (double) stepPerRequestMicros * running;
    }
}
