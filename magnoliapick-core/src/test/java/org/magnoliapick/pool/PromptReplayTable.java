package org.magnoliapick.pool;

import org.magnoliapick.limit.ColdBounds;

/**
 * Prints the table of docs/design/long-prompts.md: all loads, with several seeds each; the argument
 * "classes" enables prompt classes.
 */
final class PromptReplayTable {
    private static final int SEEDS = 5;

    private PromptReplayTable() {}

    public static void main(String[] args) {
        boolean classes = args.length > 0 && args[0].equals("classes");
        for (PromptReplays load : PromptReplays.values()) {
            for (String kind : new String[] {"short", "long"}) {
                double[] sums = new double[5];
                for (int seed = 1; seed <= SEEDS; seed++) {
                    PromptReplay replay =
                            load.run(new PoolSettings(4_000, 512, ColdBounds.NONE, classes), seed);
                    PromptReplay.Result result = replay.result(kind, 0, PromptReplays.END_MILLIS);
                    if (result.requests().isEmpty()) {
                        continue;
                    }
                    sums[0] += result.onTime() / SEEDS;
                    sums[1] += result.served() / SEEDS;
                    sums[2] += result.paused() / SEEDS;
                    sums[3] += result.largestTenth() / SEEDS;
                    sums[4] += result.nextFifth() / SEEDS;
                }
                if (sums[1] > 0) {
                    System.out.printf(
                            "| %s | %s | %.3f | %.3f | %.3f | %.2f | %.2f |%n",
                            load, kind, sums[0], sums[1], sums[2], sums[3], sums[4]);
                }
            }
        }
    }
}
