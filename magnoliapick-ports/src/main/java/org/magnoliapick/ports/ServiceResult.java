package org.magnoliapick.ports;

import java.util.List;
import java.util.Map;

/** How a call of a plain service ended. */
public sealed interface ServiceResult {
    /**
     * The whole answer.
     *
     * @param status the HTTP status
     * @param headers the headers that are passed back
     * @param body the body
     */
    record Whole(int status, Map<String, List<String>> headers, byte[] body)
            implements ServiceResult {}

    /**
     * No whole answer.
     *
     * @param failure why
     * @param detail what was seen, for logs
     */
    record Broken(AttemptFailure failure, String detail) implements ServiceResult {}
}
