package org.magnoliapick.bench.driver;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.magnoliapick.bench.policy.Policies;
import org.magnoliapick.bench.policy.Policy;
import org.magnoliapick.bench.scenario.Scenario;
import org.magnoliapick.bench.scenario.ScenarioReader;

class SimulationTest {
    private static final double ROUNDING = 1e-6;

    private static final String ALL_FAULTS =
            "extends: hakata.yaml\ndurationSeconds: 60\nfaults:\n"
                    + "  - {kind: partition, atSeconds: 10, untilSeconds: 20,"
                    + " domains: [kagoshima-c]}\n"
                    + "  - {kind: router_lost, atSeconds: 15, untilSeconds: 30, router: busiest}\n"
                    + "  - {kind: upstream_leaves, atSeconds: 25, untilSeconds: 50,"
                    + " upstream: gift-b-0}\n"
                    + "  - {kind: upstream_lost, atSeconds: 35, untilSeconds: 40,"
                    + " upstream: gift-a-0}\n";

    @TempDir Path mFolder;

    static Stream<String> policies() {
        return Policies.names().stream();
    }

    @ParameterizedTest
    @MethodSource("policies")
    void serviceNeverExceedsCapacityAndNeverFallsWhateverFails(String name) throws Exception {
        Policy policy = Policies.find(name).orElseThrow();
        Files.copy(Path.of("scenarios", "hakata.yaml"), mFolder.resolve("hakata.yaml"));
        Path file = Files.writeString(mFolder.resolve("faults.yaml"), ALL_FAULTS);
        Scenario scenario = ScenarioReader.read(file);

        Measurements run = new Simulation(scenario, policy, 3, MessageSize.NOT_MEASURED).run();

        ServiceMeter meter = run.service();
        assertThat(meter.samples()).isEqualTo(600);
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
