package org.magnoliapick.gateway;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Optional;
import java.util.ServiceLoader;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.magnoliapick.gateway.internal.GatewayProcess;
import org.magnoliapick.gateway.internal.SettingsReader;

/** The command that starts a gateway. */
public final class GatewayMain {
    /** The exit code for an invalid command line or invalid settings. */
    static final int EXIT_USAGE = 2;

    private static final String NAME = "magnoliapick-gateway";
    private static final String USAGE =
            "usage: magnoliapick-gateway --config FILE [--check]\n"
                    + " --config FILE  the YAML file with the settings\n"
                    + " --check        check the settings and exit\n"
                    + " --help         print this text and exit\n";

    private GatewayMain() {}

    /** Runs the command; exits with its exit code unless the gateway was started. */
    public static void main(String[] args) throws Exception {
        Optional<Integer> exitCode = run(args, System.out, System.err);
        if (exitCode.isPresent()) {
            System.exit(exitCode.get());
        }
    }

    static Optional<Integer> run(String[] args, PrintStream out, PrintStream err)
            throws InterruptedException {
        Options options =
                new Options()
                        .addOption(null, "config", true, "")
                        .addOption(null, "check", false, "")
                        .addOption(null, "help", false, "");
        CommandLine line;
        try {
            line = new DefaultParser().parse(options, args);
        } catch (ParseException e) {
            return usageError(err, e.getMessage());
        }
        if (line.hasOption("help")) {
            out.print(USAGE);
            return Optional.of(0);
        }
        if (!line.hasOption("config")) {
            return usageError(err, "--config FILE is missing");
        }
        return start(Path.of(line.getOptionValue("config")), line.hasOption("check"), out, err);
    }

    private static Optional<Integer> start(
            Path file, boolean checkOnly, PrintStream out, PrintStream err)
            throws InterruptedException {
        GatewaySettings settings;
        try {
            settings = SettingsReader.read(file);
        } catch (SettingsException e) {
            return usageError(err, e.getMessage());
        }
        if (checkOnly) {
            out.println(file + ": good");
            return Optional.of(0);
        }
        Optional<Dialect> dialect = ServiceLoader.load(Dialect.class).findFirst();
        if (dialect.isEmpty()) {
            return usageError(err, "no Dialect service on the class path");
        }
        GatewayProcess process = new GatewayProcess(settings, dialect.get(), out);
        process.start();
        process.watchSettings(file);
        return Optional.empty();
    }

    private static Optional<Integer> usageError(PrintStream err, String message) {
        err.println(NAME + ": " + message + " (see --help)");
        return Optional.of(EXIT_USAGE);
    }
}
