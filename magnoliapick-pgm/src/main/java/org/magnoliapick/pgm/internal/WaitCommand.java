package org.magnoliapick.pgm.internal;

import com.fasterxml.jackson.databind.JsonNode;

/** Waits until an offset is in force on every instance that answers. */
final class WaitCommand implements Command {
    private static final long PAUSE_MILLIS = 200;
    private static final long MAX_OFFSET = Long.MAX_VALUE / 2;

    @Override
    public ExitCode run(Invocation invocation) {
        long offset = Numbers.whole("OFFSET", invocation.argument(0, "OFFSET"), 0, MAX_OFFSET);
        int timeoutMillis = invocation.settings().timeoutMillis();
        long waitedMillis = 0;
        while (true) {
            JsonNode status = invocation.read(RouterClient.Call.get("fleet/status")).body();
            long all = status.path("instances").size();
            long having = countHaving(status, offset);
            if (all > 0 && having == all) {
                invocation.print(PgmText.get("inForce", offset, all));
                invocation.printUnanswered(status);
                return ExitCode.OK;
            }
            if (waitedMillis >= timeoutMillis) {
                String text = PgmText.get("notInForce", offset, waitedMillis, having, all);
                throw new PgmException(ExitCode.REFUSED, text);
            }
            waitedMillis += pause();
        }
    }

    private static long countHaving(JsonNode status, long offset) {
        long having = 0;
        for (JsonNode instance : status.path("instances")) {
            having += instance.path("offset").asLong(-1) >= offset ? 1 : 0;
        }
        return having;
    }

    private static long pause() {
        try {
            Thread.sleep(PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return PAUSE_MILLIS;
    }
}
