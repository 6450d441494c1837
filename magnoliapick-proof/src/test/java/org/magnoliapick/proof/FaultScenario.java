package org.magnoliapick.proof;

import java.util.List;

/** Drives one machine through faults and checks its promises. */
interface FaultScenario {
    /**
     * Runs the faults at a step.
     *
     * @throws AssertionError if a promise is broken or the step cannot be reached
     */
    void check(Enum<?> step, List<Fault> faults);
}
