package org.magnoliapick.bench.scenario;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ScenarioReaderTest {
    @TempDir Path mFolder;

    @BeforeEach
    void copyBase() throws IOException {
        Files.copy(Path.of("scenarios", "hakata.yaml"), mFolder.resolve("hakata.yaml"));
    }

    @Test
    void everyScenarioOfTheProjectCanBeRead() throws Exception {
        List<Path> files;
        try (Stream<Path> found = Files.list(Path.of("scenarios"))) {
            files = found.sorted().toList();
        }
        for (Path file : files) {
            assertThat(ScenarioReader.read(file).targets()).hasSize(2);
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "durationSeconds: -4 | durationSeconds: must be from 1 to 86400, is -4",
                "links: {inDomainMicros: 1, crossDomainMicros: 1, lossRatio: 2}"
                        + " | links.lossRatio: must be from 0 to 1, is 2",
                "faults: [{kind: partition, atSeconds: 5, untilSeconds: 9, domains: [osaka]}]"
                        + " | faults[0].domains: must be one of [fukuoka-a, kumamoto-b,"
                        + " kagoshima-c], is osaka",
                "faults: [{kind: quake}] | faults[0].kind: must be one of [partition, router_lost",
                "speed: 3 | speed: is not known; allowed: [",
                "workspaces: [{name: a, count: 1, loads: [{target: gift}]}]"
                        + " | workspaces[0].loads[0].cost: must be given",
                "links: {inDomainMicros: 1, crossDomainMicros: 1, lossRatio: \"NaN\"}"
                        + " | links.lossRatio: must be from 0 to 1, is NaN"
            })
    void badFileIsNamedWithPathAndWhatIsAllowed(String content, String message) throws Exception {
        Path file = mFolder.resolve("bad.yaml");
        Files.writeString(file, "extends: hakata.yaml\n" + content + "\n");

        assertThatThrownBy(() -> ScenarioReader.read(file))
                .isInstanceOf(ScenarioException.class)
                .hasMessageStartingWith(file + ": " + message);
    }

    @Test
    void missingFileIsNamed() {
        Path file = mFolder.resolve("none.yaml");

        assertThatThrownBy(() -> ScenarioReader.read(file))
                .hasMessage(file + ": (whole file): must be a YAML file");
    }
}
