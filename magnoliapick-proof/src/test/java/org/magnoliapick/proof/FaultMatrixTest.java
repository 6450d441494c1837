package org.magnoliapick.proof;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.platform.engine.discovery.DiscoverySelectors.selectPackage;

import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.platform.launcher.EngineFilter;
import org.junit.platform.launcher.LauncherDiscoveryRequest;
import org.junit.platform.launcher.core.LauncherDiscoveryRequestBuilder;
import org.junit.platform.launcher.core.LauncherFactory;
import org.junit.platform.launcher.listeners.SummaryGeneratingListener;
import org.junit.platform.launcher.listeners.TestExecutionSummary;

/**
 * Runs the matrices with Cucumber. Its engine is started here, since the build's own runner counts
 * no scenario and so misses failed ones.
 */
final class FaultMatrixTest {
    @Test
    void everyCellPasses() {
        LauncherDiscoveryRequest request =
                LauncherDiscoveryRequestBuilder.request()
                        .selectors(selectPackage("org.magnoliapick.proof"))
                        .filters(EngineFilter.includeEngines("cucumber"))
                        .configurationParameter("cucumber.glue", "org.magnoliapick.proof")
                        .build();
        SummaryGeneratingListener listener = new SummaryGeneratingListener();
        LauncherFactory.create().execute(request, listener);
        TestExecutionSummary summary = listener.getSummary();
        assertThat(summary.getTestsFailedCount()).as("failed cells").isZero();
        assertThat(summary.getTestsSucceededCount()).as("passed cells").isEqualTo(allCells());
    }

    private static long allCells() {
        return Arrays.stream(Machine.values())
                .mapToLong(
                        machine -> {
                            long faults = machine.faults().size();
                            return machine.steps().size() * faults + faults * faults;
                        })
                .sum();
    }
}
