package org.magnoliapick.router.internal.caller;

import jakarta.ws.rs.core.Response;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliapick.errors.Outcome;
import org.magnoliapick.lib.AttemptId;
import org.magnoliapick.lib.RequestId;

/**
 * What the headers of an answer tell the caller about its request.
 *
 * @param request the request
 * @param attempt the attempt that gave the answer, if one did
 * @param configOffset the configuration under which the request was decided
 */
public record AnswerHeaders(RequestId request, Optional<AttemptId> attempt, long configOffset) {
    private static final long MILLIS_PER_SECOND = 1_000;

    void addTo(Response.ResponseBuilder builder, Optional<Outcome> outcome) {
        builder.header(CallerHeaders.REQUEST, request.value());
        attempt.ifPresent(id -> builder.header(CallerHeaders.ATTEMPT, id.value()));
        builder.header(CallerHeaders.CONFIG_OFFSET, configOffset);
        outcome.ifPresent(known -> builder.header(CallerHeaders.OUTCOME, known.wireName()));
    }

    static void addRetryAfter(Response.ResponseBuilder builder, long retryAfterMillis) {
        long seconds = (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
        builder.header(CallerHeaders.RETRY_AFTER, Math.max(1, seconds));
    }

    static void addPassedOn(Response.ResponseBuilder builder, Map<String, List<String>> headers) {
        headers.forEach((name, values) -> values.forEach(value -> builder.header(name, value)));
    }
}
