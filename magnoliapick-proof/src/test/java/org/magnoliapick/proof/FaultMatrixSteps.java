package org.magnoliapick.proof;

import io.cucumber.java.After;
import io.cucumber.java.AfterAll;
import io.cucumber.java.Scenario;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.List;

/** Reads the cells of the matrices. */
public final class FaultMatrixSteps {
    private static final String PAIRS_TAG = "@pairs";
    private static int sCells;
    private static int sCellsPassed;
    private static int sPairs;
    private static int sPairsPassed;

    private final List<Fault> mFaults = new ArrayList<>();
    private Machine mMachine;
    private List<Enum<?>> mSteps = List.of();

    /** Takes one step of a machine. */
    @Given("a {word} at {word}")
    public void atStep(String machine, String step) {
        mMachine = Machine.ofLabel(machine);
        mSteps = List.of(mMachine.step(step));
    }

    /** Takes every step of a machine. */
    @Given("a {word} at each of its steps")
    public void atEachStep(String machine) {
        mMachine = Machine.ofLabel(machine);
        mSteps = mMachine.steps();
    }

    /** Adds a fault. */
    @When("{word} strikes")
    public void strikes(String fault) {
        mFaults.add(Fault.ofLabel(fault));
    }

    /** Runs the machine through the faults. */
    @Then("its promises hold")
    public void promisesHold() {
        for (Enum<?> step : mSteps) {
            mMachine.check(step, mFaults);
        }
    }

    /** Counts the cell. */
    @After
    public void count(Scenario scenario) {
        int passed = scenario.isFailed() ? 0 : 1;
        if (scenario.getSourceTagNames().contains(PAIRS_TAG)) {
            sPairs++;
            sPairsPassed += passed;
        } else {
            sCells++;
            sCellsPassed += passed;
        }
    }

    /** Prints the counts. */
    @AfterAll
    public static void printCounts() {
        System.out.printf("fault matrix: %d cells, %d passed%n", sCells, sCellsPassed);
        System.out.printf("fault pairs: %d cells, %d passed%n", sPairs, sPairsPassed);
    }
}
