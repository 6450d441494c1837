package org.magnoliapick.router.internal.caller;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.magnoliapick.errors.ErrorKind;

/**
 * The body of an answer that is an error, in the form of RFC 9457.
 *
 * @param type names the kind of error
 * @param title a short text of the kind
 * @param status the HTTP status
 * @param detail what happened to this request
 * @param error the kind of error
 * @param outcome what the caller may conclude
 * @param request the request
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Problem(
        String type,
        String title,
        int status,
        String detail,
        String error,
        String outcome,
        String request) {
    /** The media type. */
    public static final String MEDIA_TYPE = "application/problem+json";

    private static final String TYPE_PREFIX = "urn:magnoliapick:error:";

    /** Describes an error of a request. */
    public static Problem of(ErrorKind kind, String request) {
        String name = kind.wireName();
        return new Problem(
                TYPE_PREFIX + name,
                Texts.title(kind),
                kind.httpStatus(),
                Texts.detail(kind),
                name,
                kind.outcome().wireName(),
                request);
    }
}
