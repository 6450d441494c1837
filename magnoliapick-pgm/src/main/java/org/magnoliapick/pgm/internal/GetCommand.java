package org.magnoliapick.pgm.internal;

import com.fasterxml.jackson.databind.JsonNode;

/** Prints settings. */
final class GetCommand implements Command {
    @Override
    public ExitCode run(Invocation invocation) {
        String path = invocation.optionalArgument(0).orElse("");
        String apiPath = path.isEmpty() ? "settings" : "settings/" + path;
        JsonNode body = invocation.read(RouterClient.Call.get(apiPath)).body();
        if (!invocation.printForPrograms(body)) {
            Table table = new Table("PATH", "VALUE", "VERSION");
            body.path("settings")
                    .properties()
                    .forEach(
                            each ->
                                    table.row(
                                            each.getKey(),
                                            each.getValue().path("value"),
                                            each.getValue().path("version")));
            invocation.print(table);
        }
        return ExitCode.OK;
    }
}
