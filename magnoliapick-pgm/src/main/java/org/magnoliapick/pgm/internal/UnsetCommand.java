package org.magnoliapick.pgm.internal;

import java.util.Map;
import java.util.Optional;

/** Removes a path. */
final class UnsetCommand implements Command {
    @Override
    public ExitCode run(Invocation invocation) {
        String path = invocation.argument(0, "PATH");
        Map<String, String> headers = Expected.headers(invocation);
        invocation.printChange(
                invocation.change("DELETE", "settings/" + path, Optional.empty(), headers));
        return ExitCode.OK;
    }
}
