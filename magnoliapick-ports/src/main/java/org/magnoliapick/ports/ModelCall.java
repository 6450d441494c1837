package org.magnoliapick.ports;

import java.util.Optional;
import org.magnoliapick.lib.AttemptId;

/**
 * One attempt to run a model request.
 *
 * @param attempt the attempt's identifier, echoed by the engine
 * @param path the path, such as {@code /v1/chat/completions}
 * @param body the JSON body, passed on byte for byte
 * @param deadlineMillis when to give up, in milliseconds since the epoch
 * @param resumeFrom the number of chunks already taken of this attempt's stream, to go on after
 *     them; empty for a first call
 */
public record ModelCall(
        AttemptId attempt,
        String path,
        byte[] body,
        long deadlineMillis,
        Optional<Integer> resumeFrom) {}
