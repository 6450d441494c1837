package org.magnoliapick.pgm.internal;

import com.fasterxml.jackson.databind.JsonNode;

/** Prints a key that was just made. */
final class NewKey {
    private NewKey() {}

    static void print(Invocation invocation, RouterClient.Answer answer) {
        JsonNode body = answer.body();
        if (invocation.settings().output() != OutputFormat.TABLE || !body.has("key")) {
            invocation.printChange(answer);
            return;
        }
        invocation.printChange(answer);
        Table table = new Table("ID", "KEY");
        invocation.print(table.row(body.path("id").asText(), body.path("key").asText()));
        invocation.print(PgmText.get("keyOnce"));
    }
}
