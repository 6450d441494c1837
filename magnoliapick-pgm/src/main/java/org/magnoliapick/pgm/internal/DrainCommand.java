package org.magnoliapick.pgm.internal;

import java.util.Map;
import java.util.Optional;

/** Drains an upstream or gives it work again. */
final class DrainCommand implements Command {
    private final String mMethod;

    DrainCommand(String method) {
        mMethod = method;
    }

    @Override
    public ExitCode run(Invocation invocation) {
        String path = "fleet/upstreams/" + invocation.argument(0, "NAME") + "/drain";
        invocation.printChange(invocation.change(mMethod, path, Optional.empty(), Map.of()));
        return ExitCode.OK;
    }
}
