package org.magnoliapick.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class PolicyBenchTest {
    private static final Path HAKATA = Path.of("scenarios", "hakata.yaml");

    @TempDir Path mFolder;
    private Path mScenario;
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();

    @BeforeEach
    void writeShortScenario() throws IOException {
        Files.copy(HAKATA, mFolder.resolve("hakata.yaml"));
        mScenario = write("durationSeconds: 40");
    }

    @Test
    void sameSeedGivesSameOutput() {
        run("--scenario", mScenario.toString(), "--seed", "7", "--json");
        String first = mOut.toString(StandardCharsets.UTF_8);
        mOut.reset();

        run("--scenario", mScenario.toString(), "--seed", "7", "--json");

        assertThat(mOut.toString(StandardCharsets.UTF_8)).isEqualTo(first).contains("gapUnits");
    }

    @Test
    void otherSeedGivesOtherOutput() {
        run("--scenario", mScenario.toString(), "--policy", "ideal", "--seed", "7", "--json");
        String first = mOut.toString(StandardCharsets.UTF_8);
        mOut.reset();

        run("--scenario", mScenario.toString(), "--policy", "ideal", "--seed", "8", "--json");

        assertThat(mOut.toString(StandardCharsets.UTF_8)).isNotEqualTo(first);
    }

    @Test
    void checkFailsForRoundRobinUnderFlood() throws IOException {
        Path flood =
                write(
                        "durationSeconds: 100\nworkspaces:\n"
                                + backloggedGroup("flood", 1, 900)
                                + backloggedGroup("calm", 3, 60));

        int code = run("--scenario", flood.toString(), "--policy", "round-robin", "--check");

        assertThat(code).isEqualTo(1);
        assertThat(mErr.toString(StandardCharsets.UTF_8))
                .contains("MISS hakata round-robin seed 1: gift gap against the ideal");
    }

    @Test
    void idealMeetsTheCheck() {
        int code = run("--scenario", mScenario.toString(), "--policy", "ideal", "--check");

        assertThat(code).isZero();
    }

    @Test
    void unknownPolicyIsRefused() {
        int code = run("--scenario", mScenario.toString(), "--policy", "guess");

        assertThat(code).isEqualTo(2);
        assertThat(mErr.toString(StandardCharsets.UTF_8))
                .startsWith("policy-bench: --policy: must be of [")
                .hasLineCount(1);
    }

    @Test
    void plotIsWrittenAsSvg() {
        Path plot = mFolder.resolve("plot.svg");

        int code =
                run(
                        "--scenario",
                        mScenario.toString(),
                        "--policy",
                        "ideal",
                        "--plot",
                        plot.toString());

        assertThat(code).isZero();
        assertThat(plot).content().contains("<svg");
    }

    private static String backloggedGroup(String name, int count, int outstanding) {
        String cost = "{median: 100, sigma: 0.5, max: 600}";
        String load = "{target: gift, outstanding: " + outstanding + ", cost: " + cost + "}";
        return "  - {name: " + name + ", count: " + count + ", loads: [" + load + "]}\n";
    }

    private int run(String... args) {
        PrintStream out = new PrintStream(mOut, true, StandardCharsets.UTF_8);
        PrintStream err = new PrintStream(mErr, true, StandardCharsets.UTF_8);
        return new PolicyBench(out, err).run(args);
    }

    private Path write(String content) throws IOException {
        Path file = mFolder.resolve("scenario.yaml");
        return Files.writeString(file, "extends: hakata.yaml\n" + content);
    }
}
