package org.magnoliapick.router.internal.caller;

import java.util.Set;

/** The headers between callers and an entry instance. */
final class CallerHeaders {
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    static final String REQUEST_CLASS = "Magnoliapick-Class";
    static final String DEADLINE_MILLIS = "Magnoliapick-Deadline-Ms";
    static final String COST_HINT = "Magnoliapick-Cost-Hint";
    static final String IDEMPOTENT = "Magnoliapick-Idempotent";
    static final String REQUEST = "Magnoliapick-Request";
    static final String ATTEMPT = "Magnoliapick-Attempt";
    static final String OUTCOME = "Magnoliapick-Outcome";
    static final String ERROR = "Magnoliapick-Error";
    static final String CONFIG_OFFSET = "Magnoliapick-Config-Offset";
    static final String RETRY_AFTER = "Retry-After";

    /** Headers that end at each connection, or that the instance sets itself; in lower case. */
    static final Set<String> NOT_PASSED_ON =
            Set.of(
                    "authorization",
                    "connection",
                    "content-length",
                    "date",
                    "expect",
                    "host",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "accept-encoding");

    private CallerHeaders() {}
}
