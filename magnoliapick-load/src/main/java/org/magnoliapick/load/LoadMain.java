package org.magnoliapick.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Sends a bounded mixed load and checks every answer. */
public final class LoadMain {
    /** Exit code if something was lost, doubled, crossed or falsely refused. */
    public static final int EXIT_NOT_CLEAN = 1;

    /** Exit code for a command line or plan that cannot be used. */
    public static final int EXIT_USAGE = 2;

    private static final String NAME = "magnoliapick-load";
    private static final int HELP_WIDTH = 100;

    private final PrintStream mOut;
    private final PrintStream mError;

    LoadMain(PrintStream out, PrintStream error) {
        mOut = out;
        mError = error;
    }

    /** Runs the command and ends the process with its exit code. */
    public static void main(String[] arguments) throws Exception {
        PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
        PrintStream error = new PrintStream(System.err, true, StandardCharsets.UTF_8);
        System.exit(new LoadMain(out, error).run(arguments));
    }

    /** Returns the exit code. */
    int run(String... arguments) throws Exception {
        CommandLine line;
        try {
            line = new DefaultParser().parse(options(), arguments);
        } catch (ParseException e) {
            return fail(e.getMessage());
        }
        if (line.hasOption("help")) {
            printHelp();
            return 0;
        }
        if (line.hasOption("version")) {
            mOut.println(NAME + " " + version());
            return 0;
        }
        if (!line.hasOption("plan")) {
            return fail("--plan FILE is missing");
        }
        try {
            LoadPlan plan = LoadPlan.read(Path.of(line.getOptionValue("plan")));
            return run(plan, line.hasOption("json"));
        } catch (PlanException e) {
            return fail(e.getMessage());
        }
    }

    private int run(LoadPlan plan, boolean isJson) throws Exception {
        LoadReport report = LoadRun.run(plan, mError::println);
        if (isJson) {
            mOut.println(new ObjectMapper().writeValueAsString(report));
        } else {
            mOut.print(report.toTable());
        }
        return report.isClean() ? 0 : EXIT_NOT_CLEAN;
    }

    private int fail(String message) {
        mError.println(NAME + ": " + message);
        return EXIT_USAGE;
    }

    private static Options options() {
        Options options = new Options();
        options.addOption(
                Option.builder()
                        .longOpt("plan")
                        .hasArg()
                        .argName("FILE")
                        .desc("what to send")
                        .get());
        options.addOption(Option.builder().longOpt("json").desc("print figures as JSON").get());
        options.addOption(Option.builder().longOpt("help").desc("print this help").get());
        options.addOption(Option.builder().longOpt("version").desc("print the version").get());
        return options;
    }

    @SuppressWarnings("deprecation")
    private void printHelp() {
        PrintWriter out = new PrintWriter(mOut, true, StandardCharsets.UTF_8);
        new HelpFormatter().printHelp(out, HELP_WIDTH, NAME, null, options(), 2, 2, null, true);
        out.flush();
    }

    private static String version() {
        String version = LoadMain.class.getPackage().getImplementationVersion();
        return version == null ? "0.1.0-SNAPSHOT" : version;
    }
}
