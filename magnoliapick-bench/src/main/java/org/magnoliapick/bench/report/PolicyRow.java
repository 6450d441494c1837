package org.magnoliapick.bench.report;

import java.util.List;
import org.magnoliapick.bench.driver.ControlCost;

/**
 * What one policy gave in one scenario with one seed.
 *
 * @param scenario the scenario
 * @param policy the policy
 * @param seed the seed
 * @param whole requests that ended whole
 * @param refused refusals
 * @param failedAttempts attempts that failed
 * @param startsAfterLeaving starts at an upstream that had been leaving for over 5 s
 * @param control the control traffic
 * @param targets the gap and utilisation by target
 * @param queue the queue times by class
 * @param recoveries the times to be back in bounds by fault and target
 */
public record PolicyRow(
        String scenario,
        String policy,
        long seed,
        long whole,
        long refused,
        long failedAttempts,
        long startsAfterLeaving,
        ControlCost control,
        List<TargetRow> targets,
        List<QueueRow> queue,
        List<RecoveryRow> recoveries) {}
