package org.magnoliapick.gateway;

import java.util.Optional;
import java.util.OptionalLong;
import org.magnoliapick.relay.Prompt;

/**
 * The platform's fields in the head of a caller's request.
 *
 * @param id the caller's identifier of this attempt
 * @param remainingMillis how long the caller will wait for the response, if given
 * @param apiKey the API key, if the request carries one
 * @param prompt the size of the prompt of a request for a model engine
 * @param resumeAfter the last event that the caller received, if it resumes a stream
 */
public record RequestHead(
        String id,
        OptionalLong remainingMillis,
        Optional<String> apiKey,
        Prompt prompt,
        OptionalLong resumeAfter) {}
