package org.magnoliapick.pgm.internal;

/** Asks what became of a change. */
final class AskCommand implements Command {
    private static final String WAIT_MILLIS = "2000";

    @Override
    public ExitCode run(Invocation invocation) {
        String token = invocation.argument(0, "TOKEN");
        RouterClient.Call call =
                RouterClient.Call.get("changes/" + token).with("waitMillis", WAIT_MILLIS);
        invocation.printChange(invocation.read(call));
        return ExitCode.OK;
    }
}
