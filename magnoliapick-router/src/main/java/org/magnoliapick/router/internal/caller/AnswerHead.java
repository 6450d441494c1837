package org.magnoliapick.router.internal.caller;

import java.util.List;
import java.util.Map;

/**
 * The head of an upstream's answer.
 *
 * @param status the HTTP status
 * @param contentType the type of the content
 * @param headers the headers that are passed back, the type of the content among them
 */
record AnswerHead(int status, String contentType, Map<String, List<String>> headers) {}
