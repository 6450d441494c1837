package org.magnoliapick.pgm.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;

/** Prints accepted changes. */
final class HistoryCommand implements Command {
    @Override
    public ExitCode run(Invocation invocation) {
        String path = invocation.optionalArgument(0).orElse("");
        RouterClient.Call call = RouterClient.Call.get("history").with("path", path);
        JsonNode body = invocation.read(call).body();
        if (!invocation.printForPrograms(body)) {
            Table table = new Table("OFFSET", "TIME", "AUTHOR", "REASON", "SET", "UNSET");
            for (JsonNode entry : body) {
                table.row(
                        entry.path("offset"),
                        Instant.ofEpochMilli(entry.path("appendedAtMillis").asLong()),
                        entry.path("author").asText(),
                        entry.path("reason").asText(),
                        entry.path("set"),
                        entry.path("unset"));
            }
            invocation.print(table);
        }
        return ExitCode.OK;
    }
}
