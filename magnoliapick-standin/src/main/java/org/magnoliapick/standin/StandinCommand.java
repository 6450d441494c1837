package org.magnoliapick.standin;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** The command line that all stand-ins share. */
final class StandinCommand {
    /** Exit code for a command line that cannot be read. */
    static final int EXIT_USAGE = 2;

    private static final int HELP_WIDTH = 100;

    private final String mName;
    private final Options mOptions = new Options();
    private CommandLine mLine;

    StandinCommand(String name) {
        mName = name;
        add("host", "IP", "IP number to listen on (127.0.0.1)");
        add("port", "PORT", "TCP port to listen on (0: a free one)");
        addFlag("help", "print this help");
        addFlag("version", "print the version");
    }

    StandinCommand add(String name, String argument, String help) {
        mOptions.addOption(
                Option.builder().longOpt(name).hasArg().argName(argument).desc(help).get());
        return this;
    }

    StandinCommand addFlag(String name, String help) {
        mOptions.addOption(Option.builder().longOpt(name).desc(help).get());
        return this;
    }

    /** Runs the stand-in until the process is told to stop; returns on usage errors and help. */
    void run(String[] arguments, Starter starter) throws InterruptedException {
        Optional<Integer> exitCode = parse(arguments);
        if (exitCode.isPresent()) {
            System.exit(exitCode.get());
        }
        try {
            int port = starter.start(this);
            print(mName + " listens on " + host() + ":" + port);
        } catch (NumberFormatException e) {
            print(mName + ": not a number: " + e.getMessage());
            System.exit(EXIT_USAGE);
        } catch (IllegalArgumentException e) {
            print(mName + ": " + e.getMessage());
            System.exit(EXIT_USAGE);
        }
        Thread.currentThread().join();
    }

    private Optional<Integer> parse(String[] arguments) {
        try {
            mLine = new DefaultParser().parse(mOptions, arguments);
        } catch (ParseException e) {
            print(mName + ": " + e.getMessage());
            return Optional.of(EXIT_USAGE);
        }
        if (!mLine.getArgList().isEmpty()) {
            print(mName + ": unknown argument " + mLine.getArgList().get(0));
            return Optional.of(EXIT_USAGE);
        }
        if (mLine.hasOption("help")) {
            printHelp();
            return Optional.of(0);
        }
        if (mLine.hasOption("version")) {
            print(mName + " " + version());
            return Optional.of(0);
        }
        return Optional.empty();
    }

    @SuppressWarnings("deprecation")
    private void printHelp() {
        PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8);
        HelpFormatter formatter = new HelpFormatter();
        formatter.printHelp(out, HELP_WIDTH, mName, null, mOptions, 2, 2, null, true);
        out.flush();
    }

    private static String version() {
        String version = StandinCommand.class.getPackage().getImplementationVersion();
        return version == null ? "0.1.0-SNAPSHOT" : version;
    }

    private static void print(String line) {
        System.out.println(line);
    }

    boolean has(String name) {
        return mLine.hasOption(name);
    }

    String text(String name, String otherwise) {
        return mLine.getOptionValue(name, otherwise);
    }

    List<String> texts(String name, String otherwise) {
        return List.of(text(name, otherwise).split(","));
    }

    int number(String name, int otherwise) {
        return Integer.parseInt(text(name, Integer.toString(otherwise)));
    }

    long longNumber(String name, long otherwise) {
        return Long.parseLong(text(name, Long.toString(otherwise)));
    }

    String host() {
        return text("host", "127.0.0.1");
    }

    int port() {
        return number("port", 0);
    }

    /** Starts the stand-in that a command line describes. */
    interface Starter {
        /** Starts it and returns its port. */
        int start(StandinCommand command);
    }
}
