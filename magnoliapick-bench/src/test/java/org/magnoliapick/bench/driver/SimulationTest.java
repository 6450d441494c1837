package org.magnoliapick.bench.driver;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.magnoliapick.bench.policy.Policies;
import org.magnoliapick.bench.policy.Policy;
import org.magnoliapick.bench.scenario.Scenario;
import org.magnoliapick.bench.scenario.ScenarioReader;

class SimulationTest {
    private static final double ROUNDING = 1e-6;

    static Stream<Arguments> policiesAndFaults() {
        return Policies.names().stream()
                .flatMap(
                        policy ->
                                Stream.of("partition", "dispatcher-lost", "leaving")
                                        .map(fault -> Arguments.of(policy, fault)));
    }

    @ParameterizedTest
    @MethodSource("policiesAndFaults")
    void serviceNeverExceedsCapacityAndNeverFalls(String name, String fault) throws Exception {
        Policy policy = Policies.find(name).orElseThrow();
        Scenario scenario = ScenarioReader.read(Path.of("scenarios", "hakata-" + fault + ".yaml"));

        Measurements run = new Simulation(scenario, policy, 3, MessageSize.NOT_MEASURED).run();

        ServiceMeter meter = run.service();
        assertThat(meter.samples()).isEqualTo(3_000);
        for (int sample = 1; sample < meter.samples(); sample++) {
            for (int target = 0; target < scenario.targets().size(); target++) {
                assertThat(meter.busyMicros(sample)[target])
                        .isBetween(0.0, meter.offeredMicros(sample)[target]);
            }
            for (int flow = 0; flow < meter.flows().size(); flow++) {
                double before = meter.service(sample - 1)[flow];
                assertThat(meter.service(sample)[flow]).isGreaterThanOrEqualTo(before - ROUNDING);
            }
        }
        assertThat(run.whole()).isPositive();
    }
}
