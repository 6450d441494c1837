package org.magnoliapick.admin;

import java.util.Optional;

/** Answers the questions of other instances. */
public interface QueryHandler {
    /** Returns the answer as JSON, or empty for a topic that this handler does not know. */
    Optional<byte[]> answer(String topic, byte[] content);
}
