package org.magnoliapick.standin;

/** Runs a plain-service stand-in. */
public final class ServiceMain {
    private ServiceMain() {}

    /** Runs until the process is told to stop. */
    public static void main(String[] arguments) throws InterruptedException {
        StandinCommand command =
                new StandinCommand("service-standin")
                        .add("flavour", "draws|orders", "what it answers with (draws)")
                        .add("workers", "N", "calls at once (8)")
                        .add("latency-ms", "N", "time of one call (10)")
                        .add("load-lag-ms", "N", "age of a load report (500)");
        Registration.addOptions(command).run(arguments, ServiceMain::start);
    }

    private static int start(StandinCommand command) {
        ServiceOptions options =
                new ServiceOptions()
                        .setHost(command.host())
                        .setPort(command.port())
                        .setFlavour(command.text("flavour", "draws"))
                        .setWorkers(command.number("workers", 8))
                        .setLatencyMillis(command.longNumber("latency-ms", 10))
                        .setLoadLagMillis(command.longNumber("load-lag-ms", 500));
        ServiceStandin service = ServiceStandin.start(options);
        Registration.start(command, "PLAIN_SERVICE", service.port(), service::isDraining);
        return service.port();
    }
}
