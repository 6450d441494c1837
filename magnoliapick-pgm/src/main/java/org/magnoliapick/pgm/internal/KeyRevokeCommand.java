package org.magnoliapick.pgm.internal;

import java.util.Map;
import java.util.Optional;

/** Revokes a key of a workspace. */
final class KeyRevokeCommand implements Command {
    @Override
    public ExitCode run(Invocation invocation) {
        String path =
                "teams/"
                        + invocation.argument(0, "TEAM")
                        + "/workspaces/"
                        + invocation.argument(1, "WORKSPACE")
                        + "/keys/"
                        + invocation.argument(2, "ID");
        invocation.printChange(invocation.change("DELETE", path, Optional.empty(), Map.of()));
        return ExitCode.OK;
    }
}
