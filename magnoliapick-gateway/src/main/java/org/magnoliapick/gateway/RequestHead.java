package org.magnoliapick.gateway;

import java.util.Optional;
import java.util.OptionalLong;
import org.magnoliapick.relay.Prompt;

/**
 * What the head of a caller's request says, beside method, path and host.
 *
 * @param id the caller's identifier of this attempt
 * @param remainingMillis how long the caller will wait, if it says so
 * @param apiKey the key that it presents
 * @param prompt the size of its prompt, if it is for a model engine
 * @param resumeAfter the last event that it has, if it resumes a stream
 */
public record RequestHead(
        String id,
        OptionalLong remainingMillis,
        Optional<String> apiKey,
        Prompt prompt,
        OptionalLong resumeAfter) {}
