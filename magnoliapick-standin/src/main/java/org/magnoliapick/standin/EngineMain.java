package org.magnoliapick.standin;

/** Runs a model-engine stand-in. */
public final class EngineMain {
    private EngineMain() {}

    /** Runs until the process is told to stop. */
    public static void main(String[] arguments) throws InterruptedException {
        StandinCommand command =
                new StandinCommand("engine-standin")
                        .add("models", "A@1,B@2", "models loaded at the start")
                        .add("max-running", "N", "requests in the batch (16)")
                        .add("token-micros", "N", "microseconds of one token alone (2000)")
                        .add("token-micros-per-running", "N", "added by each request (100)")
                        .add("prefill-micros-per-token", "N", "outside the cache (20)")
                        .add("cache-blocks", "N", "prefix blocks kept (1024)")
                        .add("cache-event-delay-ms", "N", "lateness of cache events (500)")
                        .add("cache-event-gap-every", "N", "leaves every n-th event out (0)")
                        .add("load-lag-ms", "N", "age of a load report (500)")
                        .addFlag("ignore-fencing", "take orders with an old fencing number");
        Registration.addOptions(command).run(arguments, EngineMain::start);
    }

    private static int start(StandinCommand command) {
        EngineOptions options =
                new EngineOptions()
                        .setHost(command.host())
                        .setPort(command.port())
                        .setModels(command.texts("models", "gift-writer@1"))
                        .setMaxRunning(command.number("max-running", 16))
                        .setTokenMicros(
                                command.longNumber("token-micros", 2_000),
                                command.longNumber("token-micros-per-running", 100))
                        .setPrefillMicrosPerToken(
                                command.longNumber("prefill-micros-per-token", 20))
                        .setCacheBlocks(command.number("cache-blocks", 1_024))
                        .setCacheEvents(
                                command.longNumber("cache-event-delay-ms", 500),
                                command.number("cache-event-gap-every", 0))
                        .setLoadLagMillis(command.longNumber("load-lag-ms", 500))
                        .setHonoursFencing(!command.has("ignore-fencing"));
        EngineStandin engine = EngineStandin.start(options);
        Registration.start(command, "MODEL_ENGINE", engine.port(), engine::isDraining);
        return engine.port();
    }
}
