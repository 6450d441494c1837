package org.magnoliapick.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.ServiceLoader;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.magnoliapick.route.TrafficConfig;
import org.magnoliapick.route.check.ConfigCheck;
import org.magnoliapick.route.check.ConfigDifference;
import org.magnoliapick.route.check.ConfigFinding;

/**
 * The command that checks a version of the configuration before it is sent to the fleet. It reads
 * the file as instances read the store, so what it cannot read is refused by them, too.
 */
public final class ConfigCheckMain {
    /** The exit code if nothing was found. */
    static final int EXIT_GOOD = 0;

    /** The exit code if there are findings. */
    static final int EXIT_FINDINGS = 1;

    /** The exit code for an invalid command line or a file that cannot be read. */
    static final int EXIT_USAGE = 2;

    private static final String NAME = "magnoliapick-config-check";
    private static final String USAGE =
            "usage: magnoliapick-config-check [--in-force FILE] [--json] FILE\n"
                    + " FILE             the version to check, as it would be written\n"
                    + " --in-force FILE  the version in force, to show what changes\n"
                    + " --json           print the result as JSON\n"
                    + " --help           print this text and exit\n"
                    + "Exits with 0 if nothing was found, 1 if something was, 2 if a file or\n"
                    + "the command line cannot be read.\n";

    private final Dialect mDialect;
    private final PrintStream mOut;
    private final PrintStream mErr;

    ConfigCheckMain(Dialect dialect, PrintStream out, PrintStream err) {
        mDialect = dialect;
        mOut = out;
        mErr = err;
    }

    /** Runs the command and exits with its exit code. */
    public static void main(String[] args) {
        Optional<Dialect> dialect = ServiceLoader.load(Dialect.class).findFirst();
        if (dialect.isEmpty()) {
            System.err.println(NAME + ": no Dialect service on the class path");
            System.exit(EXIT_USAGE);
        }
        System.exit(new ConfigCheckMain(dialect.get(), System.out, System.err).run(args));
    }

    /** Runs the command; returns its exit code. */
    int run(String... args) {
        Options options =
                new Options()
                        .addOption(null, "in-force", true, "")
                        .addOption(null, "json", false, "")
                        .addOption(null, "help", false, "");
        CommandLine line;
        try {
            line = new DefaultParser().parse(options, args);
        } catch (ParseException e) {
            return fail(e.getMessage() + " (see --help)");
        }
        if (line.hasOption("help")) {
            mOut.print(USAGE);
            return EXIT_GOOD;
        }
        if (line.getArgList().size() != 1) {
            return fail("one FILE is needed (see --help)");
        }
        try {
            TrafficConfig config = read(Path.of(line.getArgList().get(0)));
            Optional<TrafficConfig> inForce = Optional.empty();
            if (line.hasOption("in-force")) {
                inForce = Optional.of(read(Path.of(line.getOptionValue("in-force"))));
            }
            return report(config, inForce, line.hasOption("json"));
        } catch (IOException e) {
            return fail(e.getMessage());
        }
    }

    private int fail(String message) {
        mErr.println(NAME + ": " + message);
        return EXIT_USAGE;
    }

    private TrafficConfig read(Path file) throws IOException {
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(file);
        } catch (IOException e) {
            throw new IOException(file + ": cannot be read: " + e.getMessage(), e);
        }
        try {
            return mDialect.readConfig(mDialect.configKey(), bytes)
                    .orElseThrow(() -> new IOException(file + ": is no configuration" + at(bytes)));
        } catch (IllegalArgumentException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        }
    }

    /** Returns where a file stops being JSON; empty if it is JSON or its format is another one. */
    private static String at(byte[] bytes) {
        try {
            new ObjectMapper().readTree(bytes);
            return " with a version";
        } catch (JsonProcessingException e) {
            return ", line "
                    + e.getLocation().getLineNr()
                    + " column "
                    + e.getLocation().getColumnNr()
                    + ": "
                    + e.getOriginalMessage();
        } catch (IOException e) {
            return ": " + e.getMessage();
        }
    }

    private int report(TrafficConfig config, Optional<TrafficConfig> inForce, boolean json) {
        List<ConfigFinding> findings = ConfigCheck.check(config);
        List<String> differences =
                inForce.map(each -> ConfigDifference.between(each, config)).orElse(List.of());
        boolean outdated = inForce.filter(each -> each.version() >= config.version()).isPresent();
        if (json) {
            mOut.println(toJson(config, findings, differences, outdated));
        } else {
            findings.forEach(mOut::println);
            if (outdated) {
                mOut.println(
                        "error: version "
                                + config.version()
                                + ": is not above "
                                + inForce.get().version()
                                + ", which is in force, so instances ignore it");
            }
            differences.forEach(each -> mOut.println("changes " + each));
        }
        return findings.isEmpty() && !outdated ? EXIT_GOOD : EXIT_FINDINGS;
    }

    private static String toJson(
            TrafficConfig config,
            List<ConfigFinding> findings,
            List<String> differences,
            boolean outdated) {
        Map<String, Object> result =
                Map.of(
                        "version",
                        config.version(),
                        "findings",
                        findings.stream()
                                .map(
                                        each ->
                                                Map.of(
                                                        "kind", each.kind().label(),
                                                        "subject", each.subject(),
                                                        "message", each.message()))
                                .toList(),
                        "ignoredAsOutdated",
                        outdated,
                        "changes",
                        differences);
        try {
            return new ObjectMapper().writeValueAsString(result);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
