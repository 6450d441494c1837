package org.magnoliapick.pgm.internal;

import com.fasterxml.jackson.databind.JsonNode;

/** Prints the configuration in force on each instance. */
final class FleetStatusCommand implements Command {
    @Override
    public ExitCode run(Invocation invocation) {
        JsonNode body = invocation.read(RouterClient.Call.get("fleet/status")).body();
        if (!invocation.printForPrograms(body)) {
            Table table = new Table("INSTANCE", "OFFSET", "DIGEST", "LOG");
            for (JsonNode each : body.path("instances")) {
                table.row(
                        each.path("instance").asText(),
                        each.path("offset"),
                        each.path("digest").asText(),
                        each.path("log").asText());
            }
            invocation.print(table);
            invocation.printUnanswered(body);
        }
        return ExitCode.OK;
    }
}
