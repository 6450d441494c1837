package org.magnoliapick.standin;

/** Runs a log stand-in. */
public final class LogMain {
    private LogMain() {}

    /** Runs until the process is told to stop. */
    public static void main(String[] arguments) throws InterruptedException {
        new StandinCommand("log-standin")
                .add("retention-ms", "N", "how long entries are kept (3600000)")
                .add("appends-per-second", "N", "appends taken; more are refused (500)")
                .run(arguments, LogMain::start);
    }

    private static int start(StandinCommand command) {
        LogOptions options =
                new LogOptions()
                        .setHost(command.host())
                        .setPort(command.port())
                        .setRetentionMillis(command.longNumber("retention-ms", 3_600_000))
                        .setAppendsPerSecond(command.number("appends-per-second", 500));
        return LogStandin.start(options).port();
    }
}
