package org.magnoliapick.pgm;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.magnoliapick.pgm.internal.Console;

final class MainTest {
    private static final String ACCEPTED =
            "{\"accepted\":true,\"dryRun\":false,\"offset\":7,\"token\":\"t\"}";

    @TempDir private Path mDirectory;
    private final FakeRouter mRouter = new FakeRouter();
    private final StringWriter mOut = new StringWriter();
    private final StringWriter mErr = new StringWriter();

    MainTest() throws IOException {}

    @AfterEach
    void stopRouter() {
        mRouter.close();
    }

    @Test
    void helpAndVersionNeedNoRouter() {
        assertThat(run("--help")).isZero();
        assertThat(mOut.toString()).contains("upstream drain NAME").contains("--dry-run");
        assertThat(run("--version")).isZero();
        assertThat(run("set", "--help")).isZero();
        assertThat(mOut.toString()).contains("usage: magnoliapickctl [options] set PATH VALUE");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "colour: red | colour: unknown; known are routers, key, timeout-ms and output",
                "routers: [localhost:80] | \"localhost:80\" must be an IP number and a port",
                "routers: [\"10.0.0.256:80\"] | must be an IP number",
                "routers: [\"10.0.0.1:0\"] | port from 1 to 65535",
                "timeout-ms: 5 | timeout-ms: \"5\" must be a whole number from 100 to 600000",
                "timeout-ms: soon | timeout-ms: \"soon\" must be",
                "output: xml | output: \"xml\" must be table, json or yaml",
                "key: 5 | key: must be a text",
                "key: abc | routers: name at least one router",
                "'routers: [\"10.0.0.1:80\"]' | key: give the key of an operator",
                "'[' | cannot be read as YAML",
            })
    void faultySettingsAreNamedWithFileAndWhatIsAllowed(String yaml, String expected)
            throws IOException {
        Path file = Files.writeString(mDirectory.resolve("ctl.yaml"), yaml);
        assertThat(run("--settings", file.toString(), "get")).isEqualTo(2);
        String firstLine = mErr.toString().lines().findFirst().orElseThrow();
        assertThat(firstLine).startsWith(file.toString()).contains(expected);
    }

    @ParameterizedTest
    @CsvSource({"'',2", "fly,2", "get a b,2", "set a,2", "get --colour,2", "wait soon,2"})
    void faultyCommandLineEndsWithUsage(String words, int code) {
        assertThat(runAtRouter(words.isEmpty() ? new String[0] : words.split(" "))).isEqualTo(code);
        assertThat(mErr.toString()).contains("magnoliapickctl --help");
        assertThat(mRouter.calls()).isEmpty();
    }

    @Test
    void settingsArePrintedAsTableOrJson() {
        mRouter.answer(
                "GET settings/teams/a",
                200,
                "{\"settings\":{\"teams/a/weight\":{\"value\":2.0,\"version\":3}}}");
        assertThat(runAtRouter("get", "teams/a")).isZero();
        assertThat(mOut.toString().lines())
                .containsExactly("PATH            VALUE  VERSION", "teams/a/weight  2.0    3");
        assertThat(runAtRouter("get", "teams/a", "--output", "json")).isZero();
        assertThat(mOut.toString()).contains("\"version\" : 3");
    }

    @Test
    void changeCarriesValueAndExpectedVersion() {
        mRouter.answer("PUT settings/teams/a/weight", 200, ACCEPTED);
        assertThat(runAtRouter("set", "teams/a/weight", "2", "--expect", "5")).isZero();
        assertThat(mRouter.calls()).containsExactly("PUT settings/teams/a/weight 2");
        assertThat(mRouter.preconditions()).containsExactly("\"5\"");
        assertThat(mOut.toString()).contains("Accepted at offset 7.");
    }

    @ParameterizedTest
    @CsvSource({
        "bad-request,400,1,teams/a/weight must be",
        "precondition-failed,412,1,magnoliapickctl history",
        "forbidden,403,1,Ask an operator",
        "unauthenticated,401,1,Check the key",
        "log-unavailable,503,3,Not accepted",
        "change-unknown,503,4,magnoliapickctl change t-9",
    })
    void refusalsAreToldApart(String error, int status, int code, String expected) {
        String problem =
                "{\"error\":\""
                        + error
                        + "\",\"detail\":\"teams/a/weight must be above 0\","
                        + "\"token\":\"t-9\",\"path\":\"teams/a/weight\"}";
        mRouter.answer("PUT settings/teams/a/weight", status, problem);
        assertThat(runAtRouter("set", "teams/a/weight", "0")).isEqualTo(code);
        assertThat(mErr.toString()).contains(expected);
    }

    @Test
    void nextRouterIsTriedWhenOneIsDown() throws IOException {
        mRouter.answer("GET workspaces", 200, "[]");
        String down = "127.0.0.1:" + closedPort();
        List<String> args = List.of("--router", down, "--router", mRouter.address(), "--key", "k");
        assertThat(run(args, "workspace", "list")).isZero();
        assertThat(run(List.of("--router", down, "--key", "k"), "workspace", "list")).isEqualTo(5);
        assertThat(mErr.toString()).contains("nothing was changed");
    }

    @Test
    void lostAnswerNamesTheTokenToAskWith() {
        assertThat(runAtRouter("set", "teams/a/weight", "2", "--token", "t-1")).isEqualTo(4);
        assertThat(mErr.toString()).contains("magnoliapickctl change t-1");
    }

    @Test
    void applyPrintsThePlanAndChangesOnlyWhatDiffers() throws IOException {
        Path file =
                Files.writeString(
                        mDirectory.resolve("tree.yaml"),
                        "teams:\n  a:\n    weight: 2\n    workspaces:\n      x: {weight: 3}\n"
                                + "      y: {weight: null}\n");
        mRouter.answerWithTag(
                "GET settings/teams/a",
                "\"9\"",
                "{\"settings\":{\"teams/a/weight\":{\"value\":2.0},"
                        + "\"teams/a/workspaces/x/weight\":{\"value\":1.0},"
                        + "\"teams/a/workspaces/y/weight\":{\"value\":1.0}}}");
        mRouter.answer("PATCH settings/teams/a", 200, ACCEPTED);
        assertThat(runAtRouter("apply", "-f", file.toString())).isZero();
        assertThat(mOut.toString().lines())
                .containsExactly(
                        "Plan:",
                        "~ teams/a/workspaces/x/weight = 3  (was 1.0)",
                        "- teams/a/workspaces/y/weight  (was 1.0)",
                        "Accepted at offset 7.");
        assertThat(mRouter.calls())
                .last()
                .isEqualTo(
                        "PATCH settings/teams/a"
                                + " {\"workspaces/x/weight\":3,\"workspaces/y/weight\":null}");
        assertThat(mRouter.preconditions()).last().isEqualTo("\"9\"");
    }

    @Test
    void diffChangesNothing() throws IOException {
        Path file = Files.writeString(mDirectory.resolve("tree.yaml"), "teams: {a: {weight: 2}}");
        mRouter.answer("GET settings/teams/a/weight", 404, "{\"error\":\"not-found\"}");
        assertThat(runAtRouter("diff", file.toString())).isZero();
        assertThat(mOut.toString()).contains("+ teams/a/weight = 2");
        assertThat(mRouter.calls()).containsExactly("GET settings/teams/a/weight");
    }

    @Test
    void waitEndsWhenEveryInstanceThatAnswersHasTheOffset() {
        mRouter.answer(
                "GET fleet/status",
                200,
                "{\"instances\":[{\"instance\":\"r1\",\"offset\":7}],\"unanswered\":[\"r2\"]}");
        assertThat(runAtRouter("wait", "7")).isZero();
        assertThat(mOut.toString()).contains("on all 1 instances").contains("Did not answer: r2");
        assertThat(runAtRouter("wait", "8", "--timeout-ms", "100")).isEqualTo(1);
        assertThat(mErr.toString()).contains("0 of 1 instances have it");
    }

    @Test
    void explanationIsPrintedAsSentences() {
        mRouter.answer(
                "GET explain/comparison",
                200,
                "{\"sentences\":[\"A got less.\"],\"unanswered\":[]}");
        assertThat(runAtRouter("explain", "--compare", "a", "b")).isZero();
        assertThat(mOut.toString().lines())
                .containsExactly("A got less.", "Every instance answered.");
        assertThat(runAtRouter("explain", "--workspace", "a", "--since", "9d")).isEqualTo(2);
    }

    @Test
    void burnReportIsWrittenAsPage() throws IOException {
        mRouter.answer(
                "GET report/burn",
                200,
                "{\"fromMillis\":0,\"toMillis\":3600000,\"stepMillis\":60000,\"configOffset\":1,"
                        + "\"unanswered\":[],\"gapUnits\":[0.0],\"workspaces\":[]}");
        Path page = mDirectory.resolve("burn.html");
        assertThat(runAtRouter("report", "burn", "--html", page.toString())).isZero();
        assertThat(Files.readString(page)).startsWith("<!DOCTYPE html>");
        assertThat(runAtRouter("report", "burn")).isZero();
    }

    @Test
    void completionNamesCommandsAndOptions() {
        assertThat(run("completion", "bash")).isZero();
        assertThat(mOut.toString()).contains("drain").contains("--dry-run").contains("complete -o");
    }

    @Test
    void tellsTheStoryOfARequestFromLogFiles() throws IOException {
        Path file = mDirectory.resolve("gateway.log");
        Files.writeString(
                file,
                "1.2 node-1 {\"atMillis\":150,\"kind\":\"request.whole\",\"request\":\"ab\","
                        + "\"workspace\":\"w\",\"route\":\"r\",\"configVersion\":4,"
                        + "\"upstream\":\"u2\",\"waitedMillis\":14,\"firstMillis\":57,"
                        + "\"tookMillis\":1543}\n"
                        + "not JSON { ab\n"
                        + "{\"atMillis\":100,\"kind\":\"attempt.ended\",\"request\":\"ab\","
                        + "\"workspace\":\"w\",\"route\":\"r\",\"configVersion\":4,"
                        + "\"end\":\"CUT\"}\n"
                        + "{\"atMillis\":90,\"kind\":\"request.whole\",\"request\":\"abc\"}\n");
        assertThat(run("logs", "explain", "ab", file.toString())).isZero();
        assertThat(mOut.toString().lines())
                .containsExactly(
                        "Request ab of workspace w on route r, under configuration 4",
                        "+0 ms  attempt.ended  end=CUT",
                        "+50 ms  request.whole  upstream=u2  waitedMillis=14  firstMillis=57"
                                + "  tookMillis=1543",
                        "Took 1543 ms: waited 14 ms here, 43 ms until the first event, 1486 ms"
                                + " until the end");
        assertThat(run("logs", "explain", "ab", mDirectory.resolve("none").toString()))
                .isEqualTo(2);
        assertThat(run("logs", "explain", "ab")).isEqualTo(2);
    }

    @Test
    void tellsTheCauseAndTheBeliefsAtThatTime() throws IOException {
        Path file = mDirectory.resolve("gateway.log");
        Files.writeString(
                file,
                "{\"atMillis\":10,\"kind\":\"pool.load\",\"load\":\"u:1/2/3\"}\n"
                        + "{\"atMillis\":20,\"kind\":\"pool.load\",\"load\":\"u:4/5/6\"}\n"
                        + "{\"atMillis\":30,\"kind\":\"upstream.ended\",\"upstream\":\"u\"}\n"
                        + "{\"atMillis\":31,\"kind\":\"upstream.ended\",\"upstream\":\"v\"}\n"
                        + "{\"atMillis\":40,\"kind\":\"attempt.ended\",\"request\":\"ab\","
                        + "\"upstream\":\"u\",\"end\":\"CUT\"}\n"
                        + "{\"atMillis\":41,\"kind\":\"request.failed\",\"request\":\"ab\","
                        + "\"error\":\"answer-broken\"}\n"
                        + "{\"atMillis\":99,\"kind\":\"pool.load\",\"load\":\"u:7/8/9\"}\n"
                        + "{\"atMillis\":99,\"kind\":\"attempt.ended\",\"request\":\"cd\"}\n");
        assertThat(run("logs", "explain", "ab", file.toString())).isZero();
        assertThat(mOut.toString().lines())
                .contains(
                        "Cause: the upstream was lost or broke off (answer-broken);"
                                + " it may have run",
                        "-20 ms  pool.load  load=u:4/5/6",
                        "-10 ms  upstream.ended  upstream=u")
                .noneMatch(line -> line.contains("7/8/9") || line.contains("upstream=v"));
        assertThat(run("logs", "explain", "cd", file.toString())).isZero();
        assertThat(mOut.toString()).contains("no end was logged");
    }

    @Test
    void tellsThatAFaultOfTheGatewayEndedARequest() throws IOException {
        Path file = mDirectory.resolve("gateway.log");
        Files.writeString(
                file,
                "{\"atMillis\":10,\"kind\":\"request.placed\",\"request\":\"ab\"}\n"
                        + "{\"atMillis\":20,\"kind\":\"request.fault\",\"request\":\"ab\","
                        + "\"fault\":\"java.lang.Error: odd\",\"at\":\"Relay.java:1\"}\n");
        assertThat(run("logs", "explain", "ab", file.toString())).isZero();
        assertThat(mOut.toString()).contains("Cause: a fault of the gateway itself ended it");
    }

    @Test
    void tellsWhichPromptPartWasQuarantined() throws IOException {
        Path file = mDirectory.resolve("gateway.log");
        String quarantined =
                "\"kind\":\"prompt.quarantined\",\"part\":\"bad\",\"crashes\":3,"
                        + "\"evidence\":\"u/aa v/bb w/cc\"}\n";
        Files.writeString(
                file,
                "{\"atMillis\":10,\"kind\":\"attempt.ended\",\"request\":\"victim\","
                        + "\"upstream\":\"v\",\"end\":\"CUT\",\"parts\":\"first own\"}\n"
                        + "{\"atMillis\":11,\"kind\":\"request.failed\","
                        + "\"request\":\"victim\",\"error\":\"answer-broken\"}\n"
                        + "{\"atMillis\":20,"
                        + quarantined
                        + "{\"atMillis\":30,\"kind\":\"request.refused\",\"request\":\"ab\","
                        + "\"cause\":\"quarantined\",\"part\":\"bad\"}\n");
        assertThat(run("logs", "explain", "ab", file.toString())).isZero();
        assertThat(mOut.toString())
                .contains("Cause: the same request, or requests with a part of its prompt, crashed")
                .contains("-10 ms  prompt.quarantined  part=bad  crashes=3");
        assertThat(run("logs", "explain", "victim", file.toString())).isZero();
        assertThat(mOut.toString()).contains("+10 ms  prompt.quarantined  part=bad  crashes=3");
    }

    @Test
    void tellsWhichRepeatedRequestWasQuarantined() throws IOException {
        Path file = mDirectory.resolve("gateway.log");
        Files.writeString(
                file,
                "{\"atMillis\":10,\"kind\":\"attempt.ended\",\"request\":\"victim\","
                        + "\"upstream\":\"v\",\"end\":\"LOST_BEFORE_HEAD\","
                        + "\"fingerprint\":\"0a\"}\n"
                        + "{\"atMillis\":20,\"kind\":\"fingerprint.quarantined\","
                        + "\"fingerprint\":\"0b\",\"crashes\":3,"
                        + "\"evidence\":\"u/0b v/0b w/0b\"}\n"
                        + "{\"atMillis\":30,\"kind\":\"request.refused\",\"request\":\"ab\","
                        + "\"cause\":\"quarantined\",\"fingerprint\":\"0b\"}\n");
        String told = "fingerprint.quarantined  fingerprint=0b  crashes=3";
        assertThat(run("logs", "explain", "ab", file.toString())).isZero();
        assertThat(mOut.toString()).contains("-10 ms  " + told);
        assertThat(run("logs", "explain", "victim", file.toString())).isZero();
        assertThat(mOut.toString()).contains("+10 ms  " + told);
    }

    @Test
    void tellsTheRateLimitsThatWereInForce() throws IOException {
        Path file = mDirectory.resolve("gateway.log");
        Files.writeString(
                file,
                "{\"atMillis\":10,\"kind\":\"upstream.rate-limited\",\"upstream\":\"u\","
                        + "\"perSecond\":\"6.3\",\"evidence\":\"request r\"}\n"
                        + "{\"atMillis\":11,\"kind\":\"upstream.rate-limited\","
                        + "\"upstream\":\"v\",\"perSecond\":\"2\",\"evidence\":\"request s\"}\n"
                        + "{\"atMillis\":20,\"kind\":\"upstream.rate-unlimited\","
                        + "\"upstream\":\"v\",\"evidence\":\"request t\"}\n"
                        + "{\"atMillis\":5000,\"kind\":\"request.refused\","
                        + "\"request\":\"ab\",\"cause\":\"rate-limited\"}\n");
        assertThat(run("logs", "explain", "ab", file.toString())).isZero();
        assertThat(mOut.toString())
                .contains("Cause: the rate limits that all upstreams named")
                .contains("-4990 ms  upstream.rate-limited  upstream=u  perSecond=6.3")
                .doesNotContain("upstream=v");
    }

    @Test
    void tellsWhichUpstreamsWereLeaving() throws IOException {
        Path file = mDirectory.resolve("gateway.log");
        Files.writeString(
                file,
                "{\"atMillis\":10,\"kind\":\"upstream.leaving\",\"upstream\":\"u\","
                        + "\"evidence\":\"request r\"}\n"
                        + "{\"atMillis\":11,\"kind\":\"upstream.leaving\","
                        + "\"upstream\":\"v\",\"evidence\":\"request s\"}\n"
                        + "{\"atMillis\":20,\"kind\":\"upstream.leaving-forgotten\","
                        + "\"upstream\":\"v\",\"evidence\":\"not listed\"}\n"
                        + "{\"atMillis\":5000,\"kind\":\"request.refused\","
                        + "\"request\":\"ab\",\"cause\":\"no-upstream\"}\n");
        assertThat(run("logs", "explain", "ab", file.toString())).isZero();
        assertThat(mOut.toString())
                .contains("Cause: no upstream of its service took requests")
                .contains("-4990 ms  upstream.leaving  upstream=u  evidence=request r")
                .doesNotContain("upstream=v");
    }

    @Test
    void tellsWhichUpstreamsWerePaused() throws IOException {
        Path file = mDirectory.resolve("gateway.log");
        Files.writeString(
                file,
                "{\"atMillis\":10,\"kind\":\"upstream.paused\",\"upstream\":\"u\","
                        + "\"forMillis\":\"9000\",\"evidence\":\"request r\"}\n"
                        + "{\"atMillis\":11,\"kind\":\"upstream.paused\","
                        + "\"upstream\":\"v\",\"evidence\":\"request s\"}\n"
                        + "{\"atMillis\":20,\"kind\":\"upstream.pause-ended\","
                        + "\"upstream\":\"v\",\"evidence\":\"the time is over\"}\n"
                        + "{\"atMillis\":5000,\"kind\":\"request.refused\","
                        + "\"request\":\"ab\",\"cause\":\"paused\"}\n");
        assertThat(run("logs", "explain", "ab", file.toString())).isZero();
        assertThat(mOut.toString())
                .contains("Cause: all upstreams of its service had refused requests")
                .contains("-4990 ms  upstream.paused  upstream=u  forMillis=9000")
                .doesNotContain("upstream=v");
    }

    @Test
    void tellsThatTheInstanceOfARequestWasKilled() throws IOException {
        Path file = mDirectory.resolve("all.log");
        Files.writeString(
                file,
                "1.0 edge-1 {\"atMillis\":40,\"kind\":\"request.placed\",\"request\":\"ab\"}\n"
                        + "1.1 edge-2 {\"atMillis\":300,\"kind\":\"instance.started\"}\n"
                        + "1.1 edge-1 {\"atMillis\":350,\"kind\":\"peers.changed\"}\n"
                        + "1.2 edge-1 {\"atMillis\":900,\"kind\":\"instance.started\"}\n"
                        + "1.3 edge-2 {\"atMillis\":950,\"kind\":\"request.placed\","
                        + "\"request\":\"cd\"}\n");
        assertThat(run("logs", "explain", "ab", file.toString())).isZero();
        assertThat(mOut.toString()).contains("began anew 860 ms after").contains("310 ms after it");
        assertThat(run("logs", "explain", "cd", file.toString())).isZero();
        assertThat(mOut.toString()).contains("no end was logged");
    }

    private int runAtRouter(String... args) {
        return run(List.of("--router", mRouter.address(), "--key", "k"), args);
    }

    private int run(List<String> before, String... args) {
        List<String> all = new ArrayList<>(before);
        all.addAll(Arrays.asList(args));
        return run(all.toArray(new String[0]));
    }

    private int run(String... args) {
        Console console = new Console(new PrintWriter(mOut), new PrintWriter(mErr));
        return Main.run(args, Map.of("HOME", mDirectory.toString()), console);
    }

    private static int closedPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
