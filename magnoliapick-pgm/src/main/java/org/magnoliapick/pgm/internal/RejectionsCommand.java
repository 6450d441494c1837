package org.magnoliapick.pgm.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;

/** Prints rejected entries. */
final class RejectionsCommand implements Command {
    @Override
    public ExitCode run(Invocation invocation) {
        JsonNode body = invocation.read(RouterClient.Call.get("rejections")).body();
        if (!invocation.printForPrograms(body)) {
            Table table = new Table("OFFSET", "TIME", "AUTHOR", "REASON");
            for (JsonNode entry : body) {
                table.row(
                        entry.path("offset"),
                        Instant.ofEpochMilli(entry.path("appendedAtMillis").asLong()),
                        entry.path("author").asText(),
                        entry.path("reason").asText());
            }
            invocation.print(table);
        }
        return ExitCode.OK;
    }
}
