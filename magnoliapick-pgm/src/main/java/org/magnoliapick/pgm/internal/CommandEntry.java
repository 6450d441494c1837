package org.magnoliapick.pgm.internal;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** The commands by name. A name has one or two words. */
enum CommandEntry {
    GET("get", "cmdGet", 1, new GetCommand()),
    SET("set", "cmdSet", 2, new SetCommand()),
    UNSET("unset", "cmdUnset", 1, new UnsetCommand()),
    DIFF("diff", "cmdDiff", 1, new ApplyCommand(false)),
    APPLY("apply", "cmdApply", 0, new ApplyCommand(true)),
    HISTORY("history", "cmdHistory", 1, new HistoryCommand()),
    REJECTIONS("rejections", "cmdRejections", 0, new RejectionsCommand()),
    CHANGE("change", "cmdChange", 1, new AskCommand()),
    WAIT("wait", "cmdWait", 1, new WaitCommand()),
    WORKSPACE_LIST("workspace list", "cmdWorkspaceList", 0, new WorkspaceListCommand()),
    WORKSPACE_CREATE("workspace create", "cmdWorkspaceCreate", 2, new WorkspaceCreateCommand()),
    KEY_ISSUE("key issue", "cmdKeyIssue", 2, new KeyIssueCommand()),
    KEY_REVOKE("key revoke", "cmdKeyRevoke", 3, new KeyRevokeCommand()),
    OPERATOR_ADD("operator add", "cmdOperatorAdd", 1, new OperatorAddCommand()),
    FLEET_STATUS("fleet status", "cmdFleetStatus", 0, new FleetStatusCommand()),
    UPSTREAM_DRAIN("upstream drain", "cmdUpstreamDrain", 1, new DrainCommand("PUT")),
    UPSTREAM_RESUME("upstream resume", "cmdUpstreamResume", 1, new DrainCommand("DELETE")),
    EXPLAIN("explain", "cmdExplain", 1, new ExplainCommand()),
    LOGS_EXPLAIN(
            "logs explain",
            "cmdLogsExplain",
            1 + LogsExplainCommand.MAX_FILES,
            new LogsExplainCommand()),
    REPORT_BURN("report burn", "cmdReport", 0, new ReportBurnCommand()),
    COMPLETION("completion", "cmdCompletion", 1, new CompletionCommand());

    private final String mName;
    private final String mTextKey;
    private final int mMaxArguments;
    private final Command mCommand;

    CommandEntry(String name, String textKey, int maxArguments, Command command) {
        mName = name;
        mTextKey = textKey;
        mMaxArguments = maxArguments;
        mCommand = command;
    }

    /** Finds the command that words begin with. */
    static Optional<CommandEntry> of(List<String> words) {
        return Arrays.stream(values())
                .filter(entry -> words.size() >= entry.words().size())
                .filter(entry -> words.subList(0, entry.words().size()).equals(entry.words()))
                .findFirst();
    }

    String commandName() {
        return mName;
    }

    List<String> words() {
        return List.of(mName.split(" "));
    }

    int maxArguments() {
        return mMaxArguments;
    }

    /** Returns how it is called. */
    String usage() {
        return text()[0];
    }

    /** Returns what it does. */
    String summary() {
        return text()[1];
    }

    /** Returns whether it works without routers. */
    boolean isLocal() {
        return this == COMPLETION || this == LOGS_EXPLAIN;
    }

    ExitCode run(Invocation invocation) {
        return mCommand.run(invocation);
    }

    private String[] text() {
        return PgmText.get(mTextKey).split("\\|", 2);
    }
}
