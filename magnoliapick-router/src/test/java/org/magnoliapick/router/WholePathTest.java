package org.magnoliapick.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.magnoliapick.standin.Fault;
import org.magnoliapick.standin.FaultSwitches;

/** Requests through real routers over loopback sockets, with faults of the systems around them. */
final class WholePathTest {
    private static final String OUTCOME = "Magnoliapick-Outcome";
    private static final String ERROR = "Magnoliapick-Error";
    private static final String END_MARK = "data: [DONE]\n\n";
    private static final int PAIRINGS = 5;

    private TestFleet mFleet;
    private String mRouter;

    @BeforeEach
    void startFleet() throws Exception {
        mFleet = new TestFleet();
        mRouter = mFleet.startRouter("router-1");
    }

    @AfterEach
    void stopFleet() {
        mFleet.close();
    }

    @Test
    void aChatGetsItsOwnWholeAnswer() throws Exception {
        HttpResponse<String> answer = chat("nonce=n1", false);
        assertThat(answer.statusCode()).isEqualTo(200);
        assertThat(header(answer, OUTCOME)).isEqualTo("whole");
        assertThat(answer.body()).contains("[n1]");
    }

    @Test
    void aStreamPassesTextByteForByteAndEndsWithItsMark() throws Exception {
        HttpResponse<String> answer = chat("願い事リスト قائمة nonce=n2", true);
        assertThat(answer.body()).contains("[n2]").endsWith(END_MARK);
    }

    @Test
    void anUnknownKeyIsRefusedAsNotRun() throws Exception {
        HttpResponse<String> answer =
                mFleet.post(
                        mRouter + "/v1/chat/completions",
                        body("nonce=n3", false),
                        "Authorization",
                        "Bearer a key of nobody");
        // The client joins both values of the header, which makes the key an unknown one.
        assertThat(answer.statusCode()).isEqualTo(401);
        assertThat(header(answer, OUTCOME)).isEqualTo("not-run");
    }

    @Test
    void aBodyThatIsNoJsonIsRefusedAsNotRun() throws Exception {
        HttpResponse<String> answer = mFleet.post(mRouter + "/v1/chat/completions", "{");
        assertThat(answer.statusCode()).isEqualTo(400);
        assertThat(header(answer, OUTCOME)).isEqualTo("not-run");
    }

    @Test
    void aPairingRunsOnceThoughItIsSentThroughTwoInstances() throws Exception {
        String second = mFleet.startRouter("router-2");
        int ranBefore = mFleet.mService.total();
        // The first ones warm the path, so that later repeats come before the log tells the end.
        for (int i = 1; i <= PAIRINGS; i++) {
            HttpResponse<String> first = pairing(mRouter, "pair-" + i);
            HttpResponse<String> repeated = pairing(second, "pair-" + i);
            assertThat(first.statusCode()).isEqualTo(200);
            assertThat(repeated.statusCode()).as(header(repeated, ERROR)).isEqualTo(200);
            assertThat(repeated.body()).isEqualTo(first.body());
            assertThat(mFleet.mService.total()).isEqualTo(ranBefore + i);
        }
    }

    /** Known fault of the stop that follows: see KNOWN-RED.txt. */
    @Tag("known-red")
    @Test
    void aPairingIsRefusedAsNotRunWhileTheLogIsOut() throws Exception {
        int ranBefore = mFleet.mService.total();
        mFleet.mLog.faults().set(Fault.OUTAGE, FaultSwitches.ALWAYS);
        HttpResponse<String> refused = pairing(mRouter, "pair-out");
        assertThat(refused.statusCode()).isEqualTo(503);
        assertThat(header(refused, OUTCOME)).isEqualTo("not-run");
        assertThat(header(refused, ERROR)).isEqualTo("log-unavailable");
        assertThat(mFleet.mService.total()).isEqualTo(ranBefore);
    }

    @Test
    void aCrossedAnswerNeverReachesTheCaller() throws Exception {
        mFleet.mEngine.faults().set(Fault.CROSSED_ATTEMPT, FaultSwitches.ALWAYS);
        HttpResponse<String> answer = chat("nonce=n5", false);
        assertThat(answer.statusCode()).isEqualTo(502);
        assertThat(header(answer, ERROR)).isEqualTo("answer-broken");
    }

    @Test
    void aRefusalOfTheOnlyUpstreamIsToldAsNotRun() throws Exception {
        mFleet.mEngine.setDraining(true);
        HttpResponse<String> answer = chat("nonce=n6", false);
        assertThat(header(answer, OUTCOME)).isEqualTo("not-run");
        assertThat(answer.headers().firstValue("Retry-After")).isPresent();
        assertThat(mFleet.mEngine.started()).isZero();
    }

    @Test
    void aCallerThatGoesAwayEndsItsStreamAtTheEngine() throws Exception {
        mFleet.leaveStream(mRouter + "/v1/chat/completions", longStream());
        assertThat(mFleet.mEngine.started()).isEqualTo(1);
        // The whole stream would take longer than the wait.
        assertThat(mFleet.awaitIdleEngine(mRouter)).isZero();
        assertThat(mFleet.mEngine.finished()).isZero();
        assertThat(header(chat("nonce=n7", false), OUTCOME)).isEqualTo("whole");
    }

    private static String longStream() {
        return body("nonce=n8", true).replace("\"max_tokens\":8", "\"max_tokens\":50000");
    }

    private HttpResponse<String> chat(String text, boolean streamed) throws Exception {
        return mFleet.post(mRouter + "/v1/chat/completions", body(text, streamed));
    }

    private HttpResponse<String> pairing(String router, String key) throws Exception {
        return mFleet.post(
                router + "/services/draws/pairings",
                "{\"giver\":\"花子\",\"nonce\":\"" + key + "\"}",
                "Idempotency-Key",
                key,
                "Magnoliapick-Deadline-Ms",
                "5000");
    }

    private static String body(String text, boolean streamed) {
        return String.format(
                "{\"model\":\"gift-writer\",\"stream\":%s,\"max_tokens\":8,"
                        + "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}",
                streamed, text);
    }

    private static String header(HttpResponse<String> answer, String name) {
        return answer.headers().firstValue(name).orElse("");
    }
}
