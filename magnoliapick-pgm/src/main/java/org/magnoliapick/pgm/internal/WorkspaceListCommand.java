package org.magnoliapick.pgm.internal;

import com.fasterxml.jackson.databind.JsonNode;

/** Lists workspaces. */
final class WorkspaceListCommand implements Command {
    @Override
    public ExitCode run(Invocation invocation) {
        JsonNode body = invocation.read(RouterClient.Call.get("workspaces")).body();
        if (!invocation.printForPrograms(body)) {
            Table table =
                    new Table("WORKSPACE", "TEAM", "WEIGHT", "TEAM WEIGHT", "MAX QUEUED", "KEYS");
            for (JsonNode each : body) {
                table.row(
                        each.path("workspace").asText(),
                        each.path("team").asText(),
                        each.path("weight"),
                        each.path("teamWeight"),
                        each.path("maxQueued"),
                        each.path("keys"));
            }
            invocation.print(table);
        }
        return ExitCode.OK;
    }
}
