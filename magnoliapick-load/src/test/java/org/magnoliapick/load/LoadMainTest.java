package org.magnoliapick.load;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.magnoliapick.standin.EngineOptions;
import org.magnoliapick.standin.EngineStandin;
import org.magnoliapick.standin.Fault;
import org.magnoliapick.standin.FaultSwitches;
import org.magnoliapick.standin.ServiceOptions;
import org.magnoliapick.standin.ServiceStandin;

final class LoadMainTest {
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mError = new ByteArrayOutputStream();
    private final ServiceStandin mService =
            ServiceStandin.start(new ServiceOptions().setLatencyMillis(1));
    private final EngineStandin mEngine =
            EngineStandin.start(
                    new EngineOptions()
                            .setModels(List.of("gift-writer@1", "lettering-writer@1"))
                            .setTokenMicros(10, 0)
                            .setPrefillMicrosPerToken(0));

    @TempDir Path mFolder;

    @AfterEach
    void closeAll() {
        mService.close();
        mEngine.close();
    }

    private int run(String... arguments) throws Exception {
        PrintStream out = new PrintStream(mOut, true, StandardCharsets.UTF_8);
        PrintStream error = new PrintStream(mError, true, StandardCharsets.UTF_8);
        return new LoadMain(out, error).run(arguments);
    }

    private int runPlan(String plan, String... more) throws Exception {
        Path file = Files.writeString(mFolder.resolve("plan.yaml"), plan);
        return more.length == 0
                ? run("--plan", file.toString())
                : run("--plan", file.toString(), more[0]);
    }

    private static String plan(int port, int servicePort, String kinds) {
        return String.join(
                "\n",
                "routers: ['127.0.0.1:" + port + "']",
                "services: ['127.0.0.1:" + servicePort + "']",
                "seconds: 1",
                "requestTimeoutMillis: 5000",
                "maxRetries: 1",
                "workspaces:",
                "  - {name: a, key: k, callers: 2, weight: 2, backlogged: true, kinds: {"
                        + kinds
                        + "}}");
    }

    private JsonNode workspace() throws Exception {
        return new ObjectMapper().readTree(mOut.toByteArray()).path("workspaces").path(0);
    }

    @Test
    void countsWholeAnswersOfModelsWithTheirTokens() throws Exception {
        String plan =
                plan(
                        mEngine.port(),
                        mService.port(),
                        "gift-suggestion: 1, wish-list-summary: 1, price-line: 1, menu-draft: 1");

        int exitCode = runPlan(plan, "--json");

        assertThat(exitCode).isZero();
        assertThat(workspace().path("whole").asLong())
                .isPositive()
                .isEqualTo(workspace().path("requests").asLong());
        assertThat(workspace().path("normalisedTokens").asDouble())
                .isEqualTo(workspace().path("tokens").asDouble() / 2);
    }

    @Test
    void findsNoDoublesWhereEachRequestRanOnce() throws Exception {
        String plan =
                plan(mService.port(), mService.port(), "pairing: 1, look-up: 1, status-check: 1");

        assertThat(runPlan(plan)).isZero();

        assertThat(mOut.toString(StandardCharsets.UTF_8)).contains("clean: zero lost");
    }

    @ParameterizedTest
    @CsvSource({"LOST_ANSWER, lost", "HALF_ANSWER, lost", "MALFORMED, crossed"})
    void isNotCleanAfterAFault(Fault fault, String column) throws Exception {
        mService.faults().set(fault, 1, "POST");

        int exitCode = runPlan(plan(mService.port(), mService.port(), "pairing: 1"), "--json");

        assertThat(exitCode).isEqualTo(LoadMain.EXIT_NOT_CLEAN);
        assertThat(workspace().path(column).asLong()).isEqualTo(1);
    }

    @Test
    void isNotCleanWhereWholeAnswersWereNotRun() throws Exception {
        try (ServiceStandin idle = ServiceStandin.start(new ServiceOptions())) {
            int exitCode = runPlan(plan(mService.port(), idle.port(), "pairing: 1"), "--json");

            assertThat(exitCode).isEqualTo(LoadMain.EXIT_NOT_CLEAN);
            assertThat(workspace().path("lost").asLong()).isPositive();
        }
    }

    @Test
    void isNotCleanWhereTheRecordsShowDoublesOrAreMissing() throws Exception {
        String twice =
                String.join(
                        "\n",
                        "routers: ['127.0.0.1:" + mService.port() + "']",
                        "services: ['127.0.0.1:"
                                + mService.port()
                                + "', '127.0.0.1:"
                                + mService.port()
                                + "']",
                        "seconds: 1",
                        "requestTimeoutMillis: 5000",
                        "workspaces:",
                        "  - {name: a, key: k, callers: 1, weight: 1, kinds: {pairing: 1}}");

        assertThat(runPlan(twice, "--json")).isEqualTo(LoadMain.EXIT_NOT_CLEAN);
        assertThat(workspace().path("doubled").asLong()).isPositive();
        mOut.reset();
        assertThat(runPlan(plan(mService.port(), 1, "pairing: 1")))
                .isEqualTo(LoadMain.EXIT_NOT_CLEAN);
        assertThat(mOut.toString(StandardCharsets.UTF_8)).contains("did not show what it ran");
    }

    @Test
    void retriesRefusalsOnlyAsOftenAsAllowed() throws Exception {
        mService.faults().set(Fault.REFUSE, FaultSwitches.ALWAYS);

        int exitCode = runPlan(plan(mService.port(), mService.port(), "pairing: 1"), "--json");

        assertThat(exitCode).isZero();
        assertThat(workspace().path("notRun").asLong())
                .isEqualTo(workspace().path("requests").asLong());
        assertThat(mService.total()).isZero();
    }

    @ParameterizedTest
    @CsvSource({
        "seconds: 1, seconds: 0, seconds",
        "maxRetries: 1, maxRetrys: 1, maxRetrys",
        "127.0.0.1:, localhost:, routers",
        "pairing: 1, paring: 1, workspaces.0.kinds.paring",
        "callers: 2, callers: two, callers",
    })
    void namesWhatIsWrongWithAPlan(String right, String wrong, String path) throws Exception {
        String plan = plan(mService.port(), mService.port(), "pairing: 1").replace(right, wrong);

        assertThat(runPlan(plan)).isEqualTo(LoadMain.EXIT_USAGE);

        assertThat(mError.toString(StandardCharsets.UTF_8).lines())
                .singleElement()
                .asString()
                .contains("plan.yaml")
                .contains(path);
    }

    @Test
    void printsHelpAndVersionAndRefusesOtherOptions() throws Exception {
        assertThat(run("--help")).isZero();
        assertThat(run("--version")).isZero();
        assertThat(run("--plam", "x")).isEqualTo(LoadMain.EXIT_USAGE);
        assertThat(run()).isEqualTo(LoadMain.EXIT_USAGE);
        assertThat(mOut.toString(StandardCharsets.UTF_8)).contains("--plan");
    }
}
