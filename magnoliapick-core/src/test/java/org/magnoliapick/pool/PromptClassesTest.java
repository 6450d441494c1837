package org.magnoliapick.pool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliapick.limit.ColdBounds;

/** Replays loads of long and short prompts with and without classes. */
final class PromptClassesTest {
    private static final PoolSettings OFF = new PoolSettings(4_000, 512);
    private static final PoolSettings ON = new PoolSettings(4_000, 512, ColdBounds.NONE, true);
    private static final long END_MILLIS = PromptReplays.END_MILLIS;

    private static final PromptReplay.Kind SPLIT =
            new PromptReplay.Kind("x", 1_000, 0, 800, 400, 4, 1);

    /** Hashes of all decisions with seed 1 before there were classes (commit 973e588). */
    private static final Map<PromptReplays, Integer> DECISIONS_WITHOUT_CLASSES =
            Map.of(
                    PromptReplays.WAVE, -1069277052,
                    PromptReplays.MIXED, -1022767888,
                    PromptReplays.ONE_PER_ENGINE, -1328890228,
                    PromptReplays.SHORT_ONLY, -551130962,
                    PromptReplays.LONG_ONLY, -962506145,
                    PromptReplays.HINTS_TOO_HIGH, 2064864900,
                    PromptReplays.HINTS_TOO_LOW, 1518370546,
                    PromptReplays.SLOW_ENGINE, -130658697,
                    PromptReplays.DISPATCHER_LOST, 701365933,
                    PromptReplays.OVERLOAD, 93507736);

    /** Guards against any change of decisions on deployments that do not enable classes. */
    @ParameterizedTest
    @EnumSource
    void decidesAsBeforeWhenOff(PromptReplays load) {
        assertThat(load.run(OFF, 1).decisions().hashCode())
                .isEqualTo(DECISIONS_WITHOUT_CLASSES.get(load));
    }

    /** Guards against classes that cost requests where there is no overload. */
    @ParameterizedTest
    @EnumSource(
            mode = EnumSource.Mode.EXCLUDE,
            names = {"WAVE", "ONE_PER_ENGINE", "OVERLOAD"})
    void servesBothKindsInTimeWithoutOverload(PromptReplays load) {
        PromptReplay replay = load.run(ON, 1);
        for (String kind : new String[] {"short", "long"}) {
            PromptReplay.Result result = replay.result(kind, 0, END_MILLIS);
            assertThat(result.onTime()).as(kind).isGreaterThan(0.97);
            assertThat(result.served()).as(kind).isGreaterThan(0.99);
        }
    }

    /** Guards against long prompts at all engines at once, which leave none for short ones. */
    @Test
    void keepsEnginesForShortPromptsWhileLongOnesArriveTogether() {
        double off =
                PromptReplays.ONE_PER_ENGINE.run(OFF, 1).result("short", 0, END_MILLIS).onTime();
        PromptReplay replay = PromptReplays.ONE_PER_ENGINE.run(ON, 1);
        assertThat(off).isLessThan(0.92);
        assertThat(replay.result("short", 0, END_MILLIS).onTime()).isGreaterThan(0.97);
        assertThat(replay.result("long", 0, END_MILLIS).onTime()).isEqualTo(1);
    }

    /** Guards against refusing prompts because they are the longest of their kind. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void servesTheLongestPromptsNearlyAsOftenAsTheirKindUnderOverload(long seed) {
        for (PromptReplays load :
                new PromptReplays[] {PromptReplays.WAVE, PromptReplays.OVERLOAD}) {
            PromptReplay replay = load.run(ON, seed);
            PromptReplay.Result result = replay.result("long", 0, END_MILLIS);
            assertThat(result.largestTenth()).as(load.name()).isGreaterThan(0.8);
            assertThat(result.nextFifth()).as(load.name()).isGreaterThan(0.8);
            assertThat(replay.result("short", 0, END_MILLIS).onTime()).isGreaterThan(0.98);
        }
    }

    /** Guards against long prompts that always go after a steady flood of short ones. */
    @Test
    void servesLongPromptsDuringAFloodOfShortOnesOfTheSameWorkspace() {
        PromptReplay.Result off = flood(OFF).result("long", 0, END_MILLIS);
        PromptReplay.Result on = flood(ON).result("long", 0, END_MILLIS);
        assertThat(on.served()).isGreaterThan(1.5 * off.served());
        assertThat(on.largestTenth()).isGreaterThan(0.8);
        assertThat(on.nextFifth()).isGreaterThan(0.8);
    }

    private static PromptReplay flood(PoolSettings settings) {
        PromptReplay replay = new PromptReplay(settings, 5, 8, 1);
        replay.send(PromptReplays.SHORT, "w", 900, 0, END_MILLIS);
        replay.send(PromptReplays.LONG, "w", 10, 0, END_MILLIS);
        replay.runUntil(END_MILLIS + 3_000);
        return replay;
    }

    /** Guards against split prompts that cost the other workspaces tokens. */
    @Test
    void splittingPromptsTakesNothingFromOtherWorkspaces() {
        assertThat(beside(SPLIT, 250).servedTokens("o0", "o1", "o2"))
                .isGreaterThan(beside(whole(1), 25).servedTokens("o0", "o1", "o2") * 95 / 100);
    }

    /** Guards against a workspace that is served more because it splits its prompts. */
    @Test
    @Tag("known-red")
    void splittingPromptsGainsNothing() {
        assertThat(beside(SPLIT, 250).servedTokens("x"))
                .isLessThan(beside(whole(1), 25).servedTokens("x") * 102 / 100);
    }

    /** Guards against a workspace that is served more because of its output hints. */
    @ParameterizedTest
    @ValueSource(doubles = {0.25, 4})
    void changingHintsGainsNothing(double factor) {
        assertThat(beside(whole(factor), 25).servedTokens("x"))
                .isLessThan(beside(whole(1), 25).servedTokens("x") * 102 / 100);
    }

    private static PromptReplay.Kind whole(double hintFactor) {
        return new PromptReplay.Kind("x", 10_000, 0, 800, 400, 40, hintFactor);
    }

    /** Overloads the engines with a kind of requests of one workspace beside other ones. */
    private static PromptReplay.Result beside(PromptReplay.Kind kind, int perSecond) {
        PromptReplay replay = new PromptReplay(ON, 5, 8, 1);
        PromptReplay.Kind others = new PromptReplay.Kind("other", 10_000, 0, 800, 400, 40, 1);
        for (int i = 0; i < 3; i++) {
            replay.send(others, "o" + i, 25, 0, END_MILLIS);
        }
        replay.send(PromptReplays.SHORT, "s", 50, 0, END_MILLIS);
        replay.send(kind, "x", perSecond, 0, END_MILLIS);
        replay.runUntil(END_MILLIS + 3_000);
        return replay.result("", 0, END_MILLIS);
    }

    /** Guards against classes that are derived from an assumed speed. */
    @Test
    void decidesAsBeforeWhileNoSpeedIsMeasured() {
        PromptClasses classes = new PromptClasses(true);
        UpstreamLoad load = new UpstreamLoad(Jobs.upstream("u"), Jobs.ENGINES.engine());
        PoolJob job = Jobs.job(1, "w", "p", 50_000, 0);
        assertThat(classes.recordArrival(job, 50_000, List.of(load), 0)).isFalse();
        Candidate candidate = new Candidate(job, load, 50_000);
        assertThat(classes.firstEventMillis(candidate, 0))
                .isEqualTo(load.firstEventMillis(50_000, 0));
    }
}
