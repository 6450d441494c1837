package org.magnoliapick.standin;

/** Runs a weight-store stand-in. */
public final class WeightsMain {
    private WeightsMain() {}

    /** Runs until the process is told to stop. */
    public static void main(String[] arguments) throws InterruptedException {
        new StandinCommand("weights-standin")
                .add("size-bytes", "N", "size of every subject (16000000000)")
                .add("bytes-per-second", "N", "rate that all loads share (1000000000)")
                .run(arguments, WeightsMain::start);
    }

    private static int start(StandinCommand command) {
        WeightsStandin weights =
                WeightsStandin.start(
                        command.host(),
                        command.port(),
                        command.longNumber("size-bytes", 16_000_000_000L),
                        command.longNumber("bytes-per-second", 1_000_000_000L));
        return weights.port();
    }
}
