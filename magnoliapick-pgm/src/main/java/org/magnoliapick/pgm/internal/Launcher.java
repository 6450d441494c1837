package org.magnoliapick.pgm.internal;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Reads the command line and runs the command. */
public final class Launcher {
    private static final String UNPACKAGED_VERSION = "development";

    private final Map<String, String> mEnvironment;
    private final Console mConsole;

    /** Creates a launcher for an environment. */
    public Launcher(Map<String, String> environment, Console console) {
        mEnvironment = Map.copyOf(environment);
        mConsole = console;
    }

    /** Runs a command line. */
    public ExitCode run(String[] args) {
        try {
            return run(parse(args));
        } catch (PgmException e) {
            mConsole.err().println(e.getMessage());
            if (e.code() == ExitCode.USAGE) {
                mConsole.err().println(PgmText.get("seeHelp"));
            }
            return e.code();
        }
    }

    private ExitCode run(CommandLine line) {
        if (line.hasOption("version")) {
            String version = Launcher.class.getPackage().getImplementationVersion();
            String shown = version == null ? UNPACKAGED_VERSION : version;
            mConsole.out().println(PgmText.get("version", shown));
            return ExitCode.OK;
        }
        List<String> words = line.getArgList();
        Optional<CommandEntry> entry = CommandEntry.of(words);
        if (line.hasOption("help")) {
            printHelp(entry);
            return ExitCode.OK;
        }
        if (entry.isEmpty()) {
            throw words.isEmpty()
                    ? new PgmException(ExitCode.USAGE, PgmText.get("usage"))
                    : PgmException.usage("unknownCommand", String.join(" ", words));
        }
        return run(entry.get(), line, words);
    }

    private ExitCode run(CommandEntry entry, CommandLine line, List<String> words) {
        List<String> arguments = words.subList(entry.words().size(), words.size());
        if (arguments.size() > entry.maxArguments()) {
            String first = arguments.get(entry.maxArguments());
            throw PgmException.usage("tooManyArguments", entry.commandName(), first);
        }
        CtlSettings settings =
                entry.isLocal()
                        ? new CtlSettings(List.of(), "", 0, OutputFormat.TABLE)
                        : CtlSettings.read(line, mEnvironment);
        return entry.run(new Invocation(entry.commandName(), line, arguments, settings, mConsole));
    }

    private static CommandLine parse(String[] args) {
        try {
            return new DefaultParser().parse(CtlOptions.all(), args);
        } catch (ParseException e) {
            throw new PgmException(ExitCode.USAGE, e.getMessage());
        }
    }

    private void printHelp(Optional<CommandEntry> entry) {
        if (entry.isPresent()) {
            mConsole.out().println(PgmText.get("usageCommand", entry.get().usage()));
            mConsole.out().println(entry.get().summary() + ".");
            return;
        }
        mConsole.out().println(PgmText.get("usage"));
        mConsole.out().println();
        mConsole.out().println(PgmText.get("commands"));
        Table commands = new Table("", "", "");
        for (CommandEntry each : CommandEntry.values()) {
            commands.row("", each.usage(), each.summary());
        }
        commands.lines().stream().skip(1).forEach(mConsole.out()::println);
        mConsole.out().println();
        mConsole.out().println(PgmText.get("options"));
        options(CtlOptions.all()).lines().stream().skip(1).forEach(mConsole.out()::println);
    }

    private static Table options(Options options) {
        Table table = new Table("", "", "");
        for (Option option : options.getOptions()) {
            String shown = option.getOpt() == null ? "" : "-" + option.getOpt() + ", ";
            String argument = option.hasArg() ? " " + option.getArgName() : "";
            table.row("", shown + "--" + option.getLongOpt() + argument, option.getDescription());
        }
        return table;
    }
}
