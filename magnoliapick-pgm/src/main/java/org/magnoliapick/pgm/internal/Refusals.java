package org.magnoliapick.pgm.internal;

import com.fasterxml.jackson.databind.JsonNode;

/** Turns problem details into an exit code and a line that says what to do next. */
final class Refusals {
    private Refusals() {}

    static PgmException of(String error, JsonNode problem) {
        String detail = problem.path("detail").asText("The router refused the call");
        if (error.equals("change-unknown")) {
            String token = problem.path("token").asText();
            return new PgmException(ExitCode.UNKNOWN, PgmText.get("changeUnknown", token));
        }
        if (error.equals("log-unavailable")) {
            String reason = detail.replaceFirst("^Not accepted: ", "");
            String text = PgmText.get("logUnavailable", reason);
            return new PgmException(ExitCode.LOG_UNAVAILABLE, text);
        }
        return new PgmException(ExitCode.REFUSED, refused(error, detail, problem));
    }

    private static String refused(String error, String detail, JsonNode problem) {
        if (error.equals("precondition-failed") || error.equals("conflict")) {
            String path = problem.path("path").asText();
            return PgmText.get("refusedNext", detail, PgmText.get("nextConflict", path));
        }
        if (error.equals("forbidden")) {
            return PgmText.get("refusedNext", detail, PgmText.get("nextForbidden"));
        }
        if (error.equals("unauthenticated")) {
            return PgmText.get("refusedNext", detail, PgmText.get("nextUnauthenticated"));
        }
        return PgmText.get("refused", detail);
    }
}
