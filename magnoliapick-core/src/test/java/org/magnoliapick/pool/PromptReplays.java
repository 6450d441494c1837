package org.magnoliapick.pool;

import java.util.function.Consumer;

/** The loads of prompts of different lengths, each replayed for ten seconds. */
enum PromptReplays {
    /** Long prompts over short ones, with a wave of long ones in the middle. */
    WAVE(
            replay -> {
                sendShort(replay, 1);
                sendLong(replay, 20, 0, PromptReplays.END_MILLIS, 1);
                sendLong(replay, 90, 3_000, 5_000, 1);
            }),
    /** Steady long and short prompts. */
    MIXED(
            replay -> {
                sendShort(replay, 1);
                sendLong(replay, 50, 0, PromptReplays.END_MILLIS, 1);
            }),
    /** A long prompt for each engine at once, every two seconds. */
    ONE_PER_ENGINE(
            replay -> {
                sendShort(replay, 1);
                sendOnePerEngine(replay);
            }),
    SHORT_ONLY(replay -> sendShort(replay, 1)),
    LONG_ONLY(replay -> sendLong(replay, 60, 0, PromptReplays.END_MILLIS, 1)),
    HINTS_TOO_HIGH(
            replay -> {
                sendShort(replay, 4);
                sendLong(replay, 50, 0, PromptReplays.END_MILLIS, 4);
            }),
    HINTS_TOO_LOW(
            replay -> {
                sendShort(replay, 0.25);
                sendLong(replay, 50, 0, PromptReplays.END_MILLIS, 0.25);
            }),
    SLOW_ENGINE(
            replay -> {
                sendShort(replay, 1);
                sendLong(replay, 45, 0, PromptReplays.END_MILLIS, 1);
                replay.at(
                        PromptReplays.END_MILLIS / 2,
                        () -> replay.engine(PromptReplays.ENGINES - 1).changeSpeed(0.4));
            }),
    DISPATCHER_LOST(
            replay -> {
                sendShort(replay, 1);
                sendLong(replay, 50, 0, PromptReplays.END_MILLIS, 1);
                replay.at(PromptReplays.END_MILLIS / 2, replay::loseDispatcher);
            }),
    /** More than the engines can prefill. */
    OVERLOAD(
            replay -> {
                sendShort(replay, 1);
                sendLong(replay, 120, 0, PromptReplays.END_MILLIS, 1);
            });

    static final int ENGINES = 8;
    static final long END_MILLIS = 10_000;
    static final PromptReplay.Kind SHORT =
            new PromptReplay.Kind("short", 628, 0.7, 300, 250, 40, 1);
    static final PromptReplay.Kind LONG = new PromptReplay.Kind("long", 6_610, 1, 800, 400, 40, 1);

    private static final int INSTANCES = 5;
    private static final int WORKSPACES = 4;
    private static final double SHORT_PER_SECOND = 150;

    private final Consumer<PromptReplay> mLoad;

    PromptReplays(Consumer<PromptReplay> load) {
        mLoad = load;
    }

    /** Replays the load and lets the requests end. */
    PromptReplay run(PoolSettings settings, long seed) {
        PromptReplay replay = new PromptReplay(settings, INSTANCES, ENGINES, seed);
        mLoad.accept(replay);
        replay.runUntil(END_MILLIS + 3_000);
        return replay;
    }

    private static void sendShort(PromptReplay replay, double hintFactor) {
        for (int i = 0; i < WORKSPACES; i++) {
            double perSecond = SHORT_PER_SECOND / WORKSPACES;
            replay.send(SHORT.withHints(hintFactor), "s" + i, perSecond, 0, END_MILLIS);
        }
    }

    private static void sendLong(
            PromptReplay replay, double perSecond, long from, long until, double hintFactor) {
        for (int i = 0; i < WORKSPACES; i++) {
            double each = perSecond / WORKSPACES;
            replay.send(LONG.withHints(hintFactor), "l" + i, each, from, until);
        }
    }

    private static void sendOnePerEngine(PromptReplay replay) {
        for (long millis = 1_000; millis < END_MILLIS; millis += 2_000) {
            for (int i = 0; i < ENGINES; i++) {
                String workspace = "l" + i % WORKSPACES;
                replay.at(millis, () -> replay.send(LONG, workspace, 20_000));
            }
        }
    }
}
