package org.magnoliapick.ports;

import java.util.List;
import java.util.Map;
import org.magnoliapick.lib.AttemptId;

/**
 * One attempt to call a plain service.
 *
 * @param attempt the attempt's identifier, echoed by the service
 * @param method the HTTP method
 * @param pathAndQuery the path and query behind the service's name
 * @param headers the caller's headers that are passed on
 * @param body the body
 * @param deadlineMillis when to give up, in milliseconds since the epoch
 */
public record ServiceCall(
        AttemptId attempt,
        String method,
        String pathAndQuery,
        Map<String, List<String>> headers,
        byte[] body,
        long deadlineMillis) {}
