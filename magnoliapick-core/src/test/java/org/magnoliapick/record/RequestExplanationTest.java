package org.magnoliapick.record;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.record.RequestExplanation.Part;

final class RequestExplanationTest {
    private static final InstanceId INSTANCE = new InstanceId("router-1");

    @Test
    void returnsEmptyWithoutDecisions() {
        assertThat(RequestExplanation.of(INSTANCE, List.of())).isEmpty();
    }

    @Test
    void partsAddUpToTheLatency() {
        RequestExplanation explanation =
                explain(
                        Decisions.ended(2_000, Decisions.CAFE, 1_000, 30),
                        Decisions.admitted(1_010, Decisions.CAFE),
                        Decisions.waited(1_350, Decisions.CAFE, 340),
                        Decisions.started(1_350, Decisions.CAFE, "engine-2"));

        assertThat(explanation.isEnded()).isTrue();
        assertThat(explanation.latencyMillis()).isEqualTo(1_000);
        assertThat(explanation.parts())
                .containsExactly(
                        new Part("reading and checking", 10),
                        new Part("waiting in the queue", 340),
                        new Part("at upstream engine-2", 650));
        assertThat(explanation.sentences())
                .contains(
                        "After 350 ms: it had waited because another workspace had received less"
                                + " service (souq) (waitedMillis 340).")
                .last()
                .isEqualTo(
                        "In all 1000 ms = 10 ms reading and checking + 340 ms waiting in the queue"
                                + " + 650 ms at upstream engine-2.");
    }

    @Test
    void separatesTimeOfTwoAttempts() {
        RequestExplanation explanation =
                explain(
                        Decisions.admitted(0, Decisions.CAFE),
                        Decisions.started(100, Decisions.CAFE, "engine-1"),
                        Decisions.started(300, Decisions.CAFE, "engine-2"),
                        Decisions.ended(900, Decisions.CAFE, 900, 1));
        assertThat(explanation.parts().stream().mapToLong(Part::millis).sum()).isEqualTo(900);
        assertThat(explanation.parts())
                .contains(new Part("at upstream engine-1", 200))
                .contains(new Part("at upstream engine-2", 600));
    }

    @Test
    void explainsRequestInProgress() {
        RequestExplanation explanation =
                explain(
                        Decisions.admitted(0, Decisions.CAFE),
                        Decisions.started(100, Decisions.CAFE, "engine-1"));
        assertThat(explanation.isEnded()).isFalse();
        assertThat(explanation.sentences()).last().asString().startsWith("So far 100 ms");
    }

    private static RequestExplanation explain(DecisionRecord... decisions) {
        List<KeptDecision> kept =
                List.of(decisions).stream().map(each -> new KeptDecision(each, 7)).toList();
        return RequestExplanation.of(INSTANCE, kept).orElseThrow();
    }
}
