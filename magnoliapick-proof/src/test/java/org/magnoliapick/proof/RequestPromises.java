package org.magnoliapick.proof;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.magnoliapick.errors.Outcome;

/** What must hold for every request, whatever has failed. */
final class RequestPromises {
    private RequestPromises() {}

    static void check(RouterWorld world) {
        for (FakeRouter router : world.mRouters) {
            router.calls().forEach(call -> check(call, world));
        }
    }

    private static void check(FakeCall call, RouterWorld world) {
        if (call.mRouterDied) {
            assertThat(call.mAnswers.size()).as("answers of a dead router").isLessThanOrEqualTo(1);
        } else {
            assertThat(call.mMachine.state().isFinal()).as("ends").isTrue();
            assertThat(call.mAnswers).as("exactly one answer").hasSize(1);
            assertThat(call.mSlotsHeld).as("slots held after the end").isZero();
        }
        checkAnswer(call);
        checkRuns(call, world);
    }

    private static void checkAnswer(FakeCall call) {
        boolean fromOwnRun = call.gotWholeAnswer() && call.mRuns > 0;
        if (fromOwnRun) {
            assertThat(lastAnswerOf(call)).as("whole answer").isEqualTo(allChunks());
        }
        if (call.mKind == FakeCall.Kind.STREAM) {
            assertThat(call.mRelayedAttempts.size()).as("attempts spliced").isLessThan(2);
            assertThat(call.mRelayed).as("relayed in order").isSorted().doesNotHaveDuplicates();
        }
    }

    private static List<Integer> lastAnswerOf(FakeCall call) {
        int from = call.mRelayed.lastIndexOf(0);
        return call.mRelayed.subList(from, call.mRelayed.size());
    }

    private static List<Integer> allChunks() {
        return IntStream.range(0, FakeCall.CHUNKS).boxed().toList();
    }

    private static void checkRuns(FakeCall call, RouterWorld world) {
        boolean saidNotRun =
                call.error().filter(kind -> kind.outcome() == Outcome.NOT_RUN).isPresent();
        if (saidNotRun) {
            assertThat(call.mRuns).as("runs of a request that was called not run").isZero();
        }
        if (call.mKind != FakeCall.Kind.STREAM) {
            assertThat(call.mRuns).as("runs of one request").isLessThanOrEqualTo(1);
        }
        if (call.mKind == FakeCall.Kind.KEYED) {
            int runs = world.mRunsByKey.getOrDefault(call.mKey, 0);
            assertThat(runs).as("runs of one key").isLessThanOrEqualTo(1);
        }
        for (int i = 1; i < call.mSentTo.size(); i++) {
            assertThat(call.mSentTo.get(i))
                    .as("next upstream")
                    .isNotEqualTo(call.mSentTo.get(i - 1));
        }
    }
}
