package org.magnoliapick.router;

import io.dropwizard.configuration.ConfigurationException;
import io.dropwizard.configuration.ConfigurationFactory;
import io.dropwizard.configuration.FileConfigurationSourceProvider;
import io.dropwizard.core.setup.Bootstrap;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;

/** Starts an entry instance. */
public final class RouterMain {
    /** The exit code for a command line or settings that make no sense. */
    static final int EXIT_USAGE = 2;

    private static final String VERSION = "magnoliapick-router 0.1.0";

    private RouterMain() {}

    /** Runs the command; ends the process with its exit code unless the instance serves. */
    public static void main(String[] args) throws Exception {
        Optional<Integer> exitCode = run(args, System.out, System.err);
        if (exitCode.isPresent()) {
            System.exit(exitCode.get());
        }
    }

    /** Runs the command; returns an exit code, or empty if the instance serves. */
    static Optional<Integer> run(String[] args, PrintStream out, PrintStream err) throws Exception {
        CommandLine line;
        try {
            line = new DefaultParser().parse(options(), args);
        } catch (ParseException e) {
            err.println("magnoliapick-router: " + e.getMessage() + " (see --help)");
            return Optional.of(EXIT_USAGE);
        }
        if (line.hasOption("help")) {
            printHelp(out);
            return Optional.of(0);
        }
        if (line.hasOption("version")) {
            out.println(VERSION);
            return Optional.of(0);
        }
        return start(line, out, err);
    }

    private static Optional<Integer> start(CommandLine line, PrintStream out, PrintStream err)
            throws Exception {
        String file = line.getOptionValue("config");
        if (file == null) {
            err.println("magnoliapick-router: --config FILE is missing (see --help)");
            return Optional.of(EXIT_USAGE);
        }
        Optional<String> fault = check(file);
        if (fault.isPresent()) {
            err.println("magnoliapick-router: " + fault.get());
            return Optional.of(EXIT_USAGE);
        }
        if (line.hasOption("check")) {
            out.println(file + ": good");
            return Optional.of(0);
        }
        new RouterApplication().run("server", file);
        return Optional.empty();
    }

    /** Returns one line that names file, path and what is allowed, or empty if all is well. */
    static Optional<String> check(String file) {
        if (!Files.isReadable(Path.of(file))) {
            return Optional.of(file + ": cannot be read");
        }
        RouterApplication application = new RouterApplication();
        Bootstrap<RouterSettings> bootstrap = new Bootstrap<>(application);
        application.initialize(bootstrap);
        ConfigurationFactory<RouterSettings> factory =
                bootstrap
                        .getConfigurationFactoryFactory()
                        .create(
                                RouterSettings.class,
                                bootstrap.getValidatorFactory().getValidator(),
                                bootstrap.getObjectMapper(),
                                "dw");
        try {
            factory.build(new FileConfigurationSourceProvider(), file);
            return Optional.empty();
        } catch (ConfigurationException e) {
            return Optional.of(SettingsFault.describe(file, e));
        } catch (IOException e) {
            return Optional.of(file + ": " + e.getMessage());
        }
    }

    private static Options options() {
        return new Options()
                .addOption(null, "config", true, "the YAML file with the settings")
                .addOption(null, "check", false, "check the settings and end")
                .addOption("h", "help", false, "print this text and end")
                .addOption(null, "version", false, "print the version and end");
    }

    private static void printHelp(PrintStream out) throws IOException {
        StringBuilder text = new StringBuilder();
        HelpFormatter.builder()
                .setShowSince(false)
                .setHelpAppendable(new org.apache.commons.cli.help.TextHelpAppendable(text))
                .get()
                .printHelp("magnoliapick-router --config FILE", "", options(), "", false);
        out.print(text);
    }
}
