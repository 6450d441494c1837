package org.magnoliapick.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.magnoliapick.bench.driver.EncodedSize;
import org.magnoliapick.bench.driver.Measurements;
import org.magnoliapick.bench.driver.MessageSize;
import org.magnoliapick.bench.driver.Simulation;
import org.magnoliapick.bench.policy.Policies;
import org.magnoliapick.bench.policy.Policy;
import org.magnoliapick.bench.report.Bounds;
import org.magnoliapick.bench.report.PolicyRow;
import org.magnoliapick.bench.report.RowMaker;
import org.magnoliapick.bench.report.ServicePlot;
import org.magnoliapick.bench.report.TextTable;
import org.magnoliapick.bench.scenario.Scenario;
import org.magnoliapick.bench.scenario.ScenarioException;
import org.magnoliapick.bench.scenario.ScenarioReader;

/** Compares policies on one scenario in virtual time. */
public final class PolicyBench {
    private static final String VERSION = "policy-bench 0.1.0";
    private static final int OK = 0;
    private static final int MISSED = 1;
    private static final int BAD_INPUT = 2;
    private static final long DEFAULT_SEED = 1;

    private static final Option SCENARIO =
            Option.builder()
                    .longOpt("scenario")
                    .hasArg()
                    .argName("FILE")
                    .desc("a scenario in YAML")
                    .get();
    private static final Option POLICY =
            Option.builder()
                    .longOpt("policy")
                    .hasArg()
                    .argName("P[,P]")
                    .desc("policies to run; all by default: " + String.join(", ", Policies.names()))
                    .get();
    private static final Option SEED =
            Option.builder()
                    .longOpt("seed")
                    .hasArg()
                    .argName("N")
                    .desc("seed of the run, 1 by default")
                    .get();
    private static final Option JSON =
            Option.builder().longOpt("json").desc("print the rows as JSON").get();
    private static final Option PLOT =
            Option.builder()
                    .longOpt("plot")
                    .hasArg()
                    .argName("FILE.png|.svg")
                    .desc("plot the spread of service over time")
                    .get();
    private static final Option CHECK =
            Option.builder()
                    .longOpt("check")
                    .desc("compare with the stated targets; exit with 1 if one is missed")
                    .get();
    private static final Option HELP = Option.builder().longOpt("help").desc("print this").get();
    private static final Option PRINT_VERSION =
            Option.builder().longOpt("version").desc("print the version").get();

    private final PrintStream mOut;
    private final PrintStream mErr;

    /** Prepares a run that prints to these streams. */
    public PolicyBench(PrintStream out, PrintStream err) {
        mOut = out;
        mErr = err;
    }

    /** Runs the command line. */
    public static void main(String[] args) {
        System.exit(new PolicyBench(System.out, System.err).run(args));
    }

    /** Runs with these arguments and returns the exit code. */
    public int run(String... args) {
        try {
            CommandLine line = new DefaultParser().parse(options(), args);
            if (line.hasOption(HELP)) {
                HelpFormatter.builder()
                        .setShowSince(false)
                        .get()
                        .printHelp("policy-bench", "", options(), "", true);
                return OK;
            }
            if (line.hasOption(PRINT_VERSION)) {
                mOut.println(VERSION);
                return OK;
            }
            return compare(line);
        } catch (ParseException | ScenarioException | IOException e) {
            mErr.println("policy-bench: " + e.getMessage());
            return BAD_INPUT;
        }
    }

    private int compare(CommandLine line) throws ParseException, ScenarioException, IOException {
        if (!line.hasOption(SCENARIO)) {
            throw new ParseException("--scenario: must be given");
        }
        List<Policy> policies = policies(line);
        long seed = seed(line);
        Path plot = plot(line);
        Scenario scenario = ScenarioReader.read(Path.of(line.getOptionValue(SCENARIO)));
        Map<String, Measurements> runs = new LinkedHashMap<>();
        Measurements ideal = simulate(scenario, Policies.find(Policies.IDEAL).orElseThrow(), seed);
        for (Policy policy : policies) {
            boolean isIdeal = policy.label().equals(Policies.IDEAL);
            runs.put(policy.label(), isIdeal ? ideal : simulate(scenario, policy, seed));
        }
        RowMaker maker = new RowMaker(scenario, seed, ideal);
        List<PolicyRow> rows = new ArrayList<>();
        runs.forEach((label, run) -> rows.add(maker.row(label, run)));
        print(line, rows);
        if (plot != null) {
            String title = scenario.name() + ", " + scenario.targets().get(0) + ", seed " + seed;
            ServicePlot.write(plot, title, 0, runs);
        }
        return line.hasOption(CHECK) ? check(rows) : OK;
    }

    private static Measurements simulate(Scenario scenario, Policy policy, long seed) {
        MessageSize size = policy.messagesAreWhole() ? new EncodedSize() : MessageSize.NOT_MEASURED;
        return new Simulation(scenario, policy, seed, size).run();
    }

    private void print(CommandLine line, List<PolicyRow> rows) throws IOException {
        if (line.hasOption(JSON)) {
            ObjectMapper mapper =
                    JsonMapper.builder()
                            .addModule(new Jdk8Module())
                            .enable(SerializationFeature.INDENT_OUTPUT)
                            .build();
            mOut.println(mapper.writeValueAsString(rows));
        } else {
            mOut.print(TextTable.format(rows));
        }
    }

    private int check(List<PolicyRow> rows) {
        int result = OK;
        for (PolicyRow row : rows) {
            if (row.policy().equals(Policies.IDEAL)) {
                continue;
            }
            for (String miss : Bounds.misses(row)) {
                mErr.println(miss);
                result = MISSED;
            }
        }
        return result;
    }

    private static List<Policy> policies(CommandLine line) throws ParseException {
        String names = line.getOptionValue(POLICY, String.join(",", Policies.names()));
        List<Policy> policies = new ArrayList<>();
        for (String name : names.split(",", -1)) {
            policies.add(
                    Policies.find(name.trim())
                            .orElseThrow(
                                    () ->
                                            new ParseException(
                                                    "--policy: must be of "
                                                            + Policies.names()
                                                            + ", is "
                                                            + name)));
        }
        return policies;
    }

    private static long seed(CommandLine line) throws ParseException {
        String value = line.getOptionValue(SEED, Long.toString(DEFAULT_SEED));
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new ParseException("--seed: must be a whole number, is " + value);
        }
    }

    private static Path plot(CommandLine line) throws ParseException {
        if (!line.hasOption(PLOT)) {
            return null;
        }
        Path file = Path.of(line.getOptionValue(PLOT));
        if (!ServicePlot.canWrite(file)) {
            throw new ParseException("--plot: must end in .png or .svg, is " + file);
        }
        return file;
    }

    private static Options options() {
        return new Options()
                .addOption(SCENARIO)
                .addOption(POLICY)
                .addOption(SEED)
                .addOption(JSON)
                .addOption(PLOT)
                .addOption(CHECK)
                .addOption(HELP)
                .addOption(PRINT_VERSION);
    }
}
