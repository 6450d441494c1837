package org.magnoliapick.admin.internal;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import jakarta.ws.rs.WebApplicationException;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import java.util.Locale;
import java.util.Map;
import org.magnoliapick.errors.ErrorKind;

/** Ends a call with problem details (RFC 9457) for an error kind. */
final class AdminException extends WebApplicationException {
    private static final long serialVersionUID = 1L;
    private static final String TYPE = "application/problem+json";
    private static final long MILLIS_PER_SECOND = 1_000;

    AdminException(ErrorKind kind, String detail) {
        this(kind, detail, Map.of());
    }

    AdminException(ErrorKind kind, String detail, Map<String, Object> members) {
        super(detail, response(kind, detail, members));
    }

    static Response response(ErrorKind kind, String detail, Map<String, Object> members) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("type", "urn:magnoliapick:error:" + kind.wireName());
        body.put("title", title(kind));
        body.put("status", kind.httpStatus());
        body.put("detail", detail);
        body.put("error", kind.wireName());
        body.put("outcome", kind.outcome().wireName());
        members.forEach(body::putPOJO);
        Response.ResponseBuilder response =
                Response.status(kind.httpStatus())
                        .type(MediaType.valueOf(TYPE))
                        .header("Magnoliapick-Error", kind.wireName())
                        .header("Magnoliapick-Outcome", kind.outcome().wireName())
                        .entity(body.toString());
        kind.retryAfterMillis()
                .ifPresent(it -> response.header("Retry-After", secondsRoundedUp(it)));
        return response.build();
    }

    private static long secondsRoundedUp(long millis) {
        return (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
    }

    private static String title(ErrorKind kind) {
        String words = kind.name().toLowerCase(Locale.ROOT).replace('_', ' ');
        return words.substring(0, 1).toUpperCase(Locale.ROOT) + words.substring(1);
    }
}
