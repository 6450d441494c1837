package org.magnoliapick.router.internal.peer;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiFunction;

/** The questions that this instance answers for others. */
@Singleton
public final class Queries {
    private final List<BiFunction<String, byte[], Optional<byte[]>>> mHandlers =
            new CopyOnWriteArrayList<>();

    @Inject
    Queries() {}

    /** Adds a handler that answers the topics it knows. */
    public void add(BiFunction<String, byte[], Optional<byte[]>> handler) {
        mHandlers.add(handler);
    }

    /** Answers a question, or returns empty if no handler knows the topic. */
    public Optional<byte[]> answer(String topic, byte[] content) {
        for (BiFunction<String, byte[], Optional<byte[]>> handler : mHandlers) {
            Optional<byte[]> answer = handler.apply(topic, content);
            if (answer.isPresent()) {
                return answer;
            }
        }
        return Optional.empty();
    }
}
