package org.magnoliapick.ports.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.magnoliapick.lib.AttemptId;
import org.magnoliapick.ports.AttemptFailure;
import org.magnoliapick.ports.Endpoint;
import org.magnoliapick.ports.ModelCall;
import org.magnoliapick.ports.ModelEngine.EngineOrder;
import org.magnoliapick.ports.ModelEngine.OrderResult;
import org.magnoliapick.ports.Platform;
import org.magnoliapick.ports.PlatformSettings;
import org.magnoliapick.standin.EngineOptions;
import org.magnoliapick.standin.EngineStandin;
import org.magnoliapick.standin.Fault;

final class HttpModelEngineTest {
    private static final Endpoint NOWHERE = new Endpoint("127.0.0.1", 1);
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final long AMPLE_MILLIS = 20_000;
    private static final long SHORT_MILLIS = 150;

    private final EngineStandin mEngine =
            EngineStandin.start(
                    new EngineOptions()
                            .setTokenMicros(0, 0)
                            .setPrefillMicrosPerToken(0)
                            .setCacheEvents(0, 0)
                            .setLoadLagMillis(0));
    private final Endpoint mEndpoint = new Endpoint("127.0.0.1", mEngine.port());
    private final Platform mPlatform =
            Platform.http(
                    PlatformSettings.of(NOWHERE, NOWHERE, NOWHERE), System::currentTimeMillis);

    @AfterEach
    void closeAll() {
        mPlatform.close();
        mEngine.close();
    }

    private RecordingStream run(Endpoint engine, boolean isStreamed, long withinMillis) {
        return run(new RecordingStream(), engine, isStreamed, withinMillis, Optional.empty());
    }

    private RecordingStream run(
            RecordingStream stream,
            Endpoint engine,
            boolean isStreamed,
            long withinMillis,
            Optional<Integer> resumeFrom) {
        String body =
                "{\"model\":\"gift-writer\",\"max_tokens\":6,\"stream\":"
                        + isStreamed
                        + ",\"messages\":[{\"role\":\"user\",\"content\":\"贈り物 هدية nonce=a1\"}]}";
        ModelCall call =
                new ModelCall(
                        new AttemptId("attempt-1"),
                        "/v1/chat/completions",
                        body.getBytes(StandardCharsets.UTF_8),
                        System.currentTimeMillis() + withinMillis,
                        resumeFrom);
        mPlatform.modelEngine().run(engine, call, stream);
        return stream;
    }

    @Test
    void passesAStreamOnUnchangedUpToItsEndMark() {
        RecordingStream stream = run(mEndpoint, true, AMPLE_MILLIS);

        assertThat(stream.mFailure).isEmpty();
        assertThat(stream.mEnds).isEqualTo(1);
        assertThat(stream.mStatus).isEqualTo(200);
        assertThat(stream.mTokens).isEqualTo(6);
        assertThat(stream.mOutputTokens).isEqualTo(6);
        assertThat(stream.mPromptTokens).isPositive();
        assertThat(stream.mChunks).hasSize(8);
        assertThat(stream.mChunks.get(5)).contains("[a1]");
        assertThat(stream.text()).contains("هدية").doesNotContain("[DONE]");
    }

    @Test
    void passesAWholeAnswerOnInOnePiece() {
        RecordingStream stream = run(mEndpoint, false, AMPLE_MILLIS);

        assertThat(stream.mFailure).isEmpty();
        assertThat(stream.mChunks).hasSize(1);
        assertThat(stream.mTokens).isEqualTo(6);
        assertThat(stream.text()).contains("[a1]").contains("هدية");
    }

    @ParameterizedTest
    @CsvSource({
        "CUT_BEFORE_HEAD, true, LOST_BEFORE_HEAD",
        "CUT_BEFORE_HEAD, false, LOST_BEFORE_HEAD",
        "LOST_ANSWER, false, LOST_BEFORE_HEAD",
        "HALF_ANSWER, true, CUT",
        "HALF_ANSWER, false, CUT",
        "NO_END_MARK, true, CUT",
        "CROSSED_ATTEMPT, true, CROSSED",
        "CROSSED_ATTEMPT, false, CROSSED",
        "MISSING_ATTEMPT, true, CROSSED",
        "MALFORMED, true, MALFORMED",
        "MALFORMED, false, MALFORMED",
        "WRONG_TYPE, true, MALFORMED",
        "WRONG_TYPE, false, MALFORMED",
        "OVERLONG, true, MALFORMED",
        "OVERLONG, false, MALFORMED",
        "ERROR_EVENT, true, FAILED",
        "FAIL, true, FAILED",
        "OUTAGE, true, FAILED",
        "REFUSE, true, REFUSED",
        "REFUSE, false, REFUSED",
    })
    void tellsEachFaultTruthfully(Fault fault, boolean isStreamed, AttemptFailure expected) {
        mEngine.faults().set(fault, 1);

        RecordingStream stream = run(mEndpoint, isStreamed, AMPLE_MILLIS);

        assertThat(stream.mFailure).contains(expected);
        assertThat(stream.mEnds).isEqualTo(1);
        assertThat(run(mEndpoint, isStreamed, AMPLE_MILLIS).mFailure).isEmpty();
    }

    @Test
    void takesACrossedRefusalForNoProof() {
        mEngine.faults().set(Fault.REFUSE, 1);
        mEngine.faults().set(Fault.CROSSED_ATTEMPT, 1);

        assertThat(run(mEndpoint, true, AMPLE_MILLIS).mFailure).contains(AttemptFailure.CROSSED);
    }

    @Test
    void tellsARefusedConnectionAsNotSent() {
        mEngine.close();

        RecordingStream stream = run(mEndpoint, true, AMPLE_MILLIS);

        assertThat(stream.mFailure).contains(AttemptFailure.NOT_SENT);
    }

    @Test
    void sendsNothingPastTheDeadline() {
        RecordingStream stream = run(mEndpoint, true, 0);

        assertThat(stream.mFailure).contains(AttemptFailure.NOT_SENT);
        assertThat(mEngine.started()).isZero();
    }

    @Test
    void givesUpOnAStalledEngineAtTheDeadline() {
        mEngine.faults().set(Fault.STALL, 1);

        RecordingStream stream = run(mEndpoint, true, SHORT_MILLIS);

        assertThat(stream.mFailure).contains(AttemptFailure.TIMEOUT);
    }

    @Test
    void stopsWhenTheReceiverCancels() {
        RecordingStream stream = new RecordingStream();
        stream.mCancelAfterChunks = 2;

        run(stream, mEndpoint, true, AMPLE_MILLIS, Optional.empty());

        assertThat(stream.mFailure).contains(AttemptFailure.CANCELLED);
        assertThat(stream.mChunks).hasSize(2);
    }

    @Test
    void resumesBehindTheChunksTaken() {
        mEngine.faults().set(Fault.HALF_ANSWER, 1);
        RecordingStream first = run(mEndpoint, true, AMPLE_MILLIS);
        int taken = first.mChunks.size();

        run(first, mEndpoint, true, AMPLE_MILLIS, Optional.of(taken));

        assertThat(first.mChunks).isEqualTo(run(mEndpoint, true, AMPLE_MILLIS).mChunks);
    }

    @Test
    void reportsLoadCacheAndState() {
        String longPrompt = "w".repeat(1_000);
        ModelCall call =
                new ModelCall(
                        new AttemptId("attempt-2"),
                        "/v1/completions",
                        ("{\"model\":\"gift-writer@1\",\"prompt\":\"" + longPrompt + "\"}")
                                .getBytes(StandardCharsets.UTF_8),
                        System.currentTimeMillis() + AMPLE_MILLIS,
                        Optional.empty());
        mPlatform.modelEngine().run(mEndpoint, call, new RecordingStream());

        assertThat(mPlatform.modelEngine().load(mEndpoint, TIMEOUT).orElseThrow().maxRunning())
                .isEqualTo(16);
        assertThat(
                        mPlatform
                                .modelEngine()
                                .cacheEvents(mEndpoint, 0, TIMEOUT)
                                .orElseThrow()
                                .stored())
                .hasSize(3);
        assertThat(mPlatform.modelEngine().loaded(mEndpoint, TIMEOUT).orElseThrow().models())
                .isEqualTo(List.of("gift-writer@1"));
    }

    @Test
    void tellsFencedOrdersFromLostOnes() {
        EngineOrder newer = new EngineOrder(EngineOrder.Kind.LOAD_MODEL, "gift-writer@2", 7);
        EngineOrder older = new EngineOrder(EngineOrder.Kind.LOAD_MODEL, "gift-writer@3", 6);

        assertThat(order(newer)).isEqualTo(OrderResult.ACCEPTED);
        assertThat(order(older)).isEqualTo(OrderResult.FENCED);
        mEngine.faults().set(Fault.LOST_ANSWER, 1);
        assertThat(order(newer)).isEqualTo(OrderResult.UNKNOWN);
        mEngine.faults().set(Fault.OUTAGE, 1);
        assertThat(order(newer)).isEqualTo(OrderResult.UNKNOWN);
        assertThat(mPlatform.modelEngine().order(NOWHERE, newer, TIMEOUT))
                .isEqualTo(OrderResult.REFUSED);
    }

    private OrderResult order(EngineOrder order) {
        return mPlatform.modelEngine().order(mEndpoint, order, TIMEOUT);
    }

    @Test
    void returnsNoReportThatIsBroken() {
        mEngine.faults().set(Fault.NO_REPORT, 1);

        assertThat(mPlatform.modelEngine().load(mEndpoint, TIMEOUT)).isEmpty();
    }

    @Test
    void givesConnectionsBackAfterEveryKindOfEnd() {
        PlatformSettings two =
                new PlatformSettings(NOWHERE, NOWHERE, NOWHERE, 1_000, 2, 2, 4_096, 4_096);
        try (Platform small = Platform.http(two, System::currentTimeMillis)) {
            List<Fault> faults =
                    List.of(Fault.HALF_ANSWER, Fault.CROSSED_ATTEMPT, Fault.OVERLONG, Fault.FAIL);
            faults.forEach(
                    fault -> {
                        IntStream.range(0, 3).forEach(i -> runOn(small, Optional.of(fault)));
                    });

            assertThat(runOn(small, Optional.empty()).mFailure).isEmpty();
        }
    }

    private RecordingStream runOn(Platform platform, Optional<Fault> fault) {
        fault.ifPresent(found -> mEngine.faults().set(found, 1));
        RecordingStream stream = new RecordingStream();
        ModelCall call =
                new ModelCall(
                        new AttemptId("attempt-3"),
                        "/v1/completions",
                        "{\"model\":\"gift-writer\",\"stream\":true}"
                                .getBytes(StandardCharsets.UTF_8),
                        System.currentTimeMillis() + AMPLE_MILLIS,
                        Optional.empty());
        platform.modelEngine().run(mEndpoint, call, stream);
        return stream;
    }
}
