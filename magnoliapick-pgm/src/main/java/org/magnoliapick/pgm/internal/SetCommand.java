package org.magnoliapick.pgm.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.Optional;

/** Sets a value. */
final class SetCommand implements Command {
    @Override
    public ExitCode run(Invocation invocation) {
        String path = invocation.argument(0, "PATH");
        JsonNode value = SettingsTree.value(invocation.argument(1, "VALUE"));
        Map<String, String> headers = Expected.headers(invocation);
        invocation.printChange(
                invocation.change("PUT", "settings/" + path, Optional.of(value), headers));
        return ExitCode.OK;
    }
}
