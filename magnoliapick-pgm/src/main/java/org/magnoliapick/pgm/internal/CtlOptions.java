package org.magnoliapick.pgm.internal;

import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** The options of the command line. */
final class CtlOptions {
    private CtlOptions() {}

    static Options all() {
        Options options = new Options();
        options.addOption(value("settings", "FILE", "optSettings"));
        options.addOption(value("router", "IP:PORT", "optRouter"));
        options.addOption(value("key", "KEY", "optKey"));
        options.addOption(value("output", "FORMAT", "optOutput"));
        options.addOption(value("timeout-ms", "MILLIS", "optTimeout"));
        options.addOption(value("reason", "TEXT", "optReason"));
        options.addOption(value("token", "TOKEN", "optToken"));
        options.addOption(value("expect", "VERSION", "optExpect"));
        options.addOption(flag("dry-run", "optDryRun"));
        options.addOption(
                Option.builder("f")
                        .longOpt("file")
                        .hasArg()
                        .argName("FILE")
                        .desc(PgmText.get("optFile"))
                        .get());
        options.addOption(value("weight", "NUMBER", "optWeight"));
        options.addOption(value("max-queued", "NUMBER", "optMaxQueued"));
        options.addOption(value("id", "NAME", "optId"));
        options.addOption(value("role", "ROLE", "optRole"));
        options.addOption(value("team", "TEAM", "optTeam"));
        options.addOption(value("request", "ID", "optRequest"));
        options.addOption(value("workspace", "NAME", "optWorkspace"));
        options.addOption(value("since", "TIME", "optSince"));
        options.addOption(value("compare", "A B", "optCompare"));
        options.addOption(value("html", "FILE", "optHtml"));
        options.addOption(flag("help", "optHelp"));
        options.addOption(flag("version", "optVersion"));
        return options;
    }

    private static Option value(String name, String argument, String textKey) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(argument)
                .desc(PgmText.get(textKey))
                .get();
    }

    private static Option flag(String name, String textKey) {
        return Option.builder().longOpt(name).desc(PgmText.get(textKey)).get();
    }
}
