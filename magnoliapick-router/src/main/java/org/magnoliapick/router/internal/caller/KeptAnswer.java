package org.magnoliapick.router.internal.caller;

import java.util.List;
import java.util.Map;

/**
 * The answer to a request with an idempotency key, kept for callers that ask again.
 *
 * @param status the HTTP status
 * @param headers the headers that are passed back
 * @param body the body
 */
public record KeptAnswer(int status, Map<String, List<String>> headers, byte[] body) {}
