package org.magnoliapick.standin;

/** Runs an instance-list stand-in. */
public final class ListMain {
    private ListMain() {}

    /** Runs until the process is told to stop. */
    public static void main(String[] arguments) throws InterruptedException {
        new StandinCommand("list-standin")
                .add("expiry-ms", "N", "drops members not renewed for so long (10000)")
                .add("lag-ms", "N", "age of the answered list (500)")
                .run(arguments, ListMain::start);
    }

    private static int start(StandinCommand command) {
        ListOptions options =
                new ListOptions()
                        .setHost(command.host())
                        .setPort(command.port())
                        .setExpiryMillis(command.longNumber("expiry-ms", 10_000))
                        .setLagMillis(command.longNumber("lag-ms", 500));
        return ListStandin.start(options).port();
    }
}
