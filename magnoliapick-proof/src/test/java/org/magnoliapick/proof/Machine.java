package org.magnoliapick.proof;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Supplier;
import org.magnoliapick.order.OrderStep;
import org.magnoliapick.request.RequestState;

/** A state machine under proof: its steps, and the faults that can reach it. */
enum Machine {
    /** The life of a request. */
    REQUEST(
            RequestState.values(),
            EnumSet.of(Fault.OPERATORS_RACE, Fault.LIST_LOST),
            RequestScenario::new),
    /** The life of a claim. */
    CLAIM(
            ClaimScenario.ClaimStep.values(),
            EnumSet.of(Fault.OPERATORS_RACE, Fault.LIST_LOST),
            ClaimScenario::new),
    /** The life of a change of the configuration. */
    CONFIG(
            ConfigScenario.ConfigStep.values(),
            EnumSet.of(
                    Fault.ANSWER_LOST,
                    Fault.UPSTREAM_LEAVES,
                    Fault.UPSTREAM_DIES,
                    Fault.CROSSED_ANSWER,
                    Fault.LIST_LOST),
            ConfigScenario::new),
    /** The orders to the engines of a pool. */
    ORDER(
            OrderStep.values(),
            EnumSet.of(Fault.FLOOD, Fault.CROSSED_ANSWER, Fault.REPEATED),
            OrderScenario::new);

    private final Enum<?>[] mSteps;
    private final Set<Fault> mOutOfReach;
    private final Supplier<FaultScenario> mScenario;

    Machine(Enum<?>[] steps, Set<Fault> outOfReach, Supplier<FaultScenario> scenario) {
        mSteps = steps;
        mOutOfReach = outOfReach;
        mScenario = scenario;
    }

    /** Returns the steps, from the machine's own enum. */
    List<Enum<?>> steps() {
        return List.of(mSteps);
    }

    /**
     * Returns the faults that can reach this machine: all but the ones that it has no input for.
     */
    List<Fault> faults() {
        return Arrays.stream(Fault.values()).filter(each -> !mOutOfReach.contains(each)).toList();
    }

    Enum<?> step(String label) {
        return steps().stream()
                .filter(each -> label(each).equals(label))
                .findFirst()
                .orElseThrow(() -> new AssertionError("No step " + label));
    }

    /**
     * Drives a fresh machine to a step, lets the faults strike one after the other, ends them, and
     * checks the promises.
     */
    void check(Enum<?> step, List<Fault> faults) {
        mScenario.get().check(step, faults);
    }

    String label() {
        return label(this);
    }

    static String label(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    static Machine ofLabel(String label) {
        return valueOf(label.toUpperCase(Locale.ROOT));
    }
}
