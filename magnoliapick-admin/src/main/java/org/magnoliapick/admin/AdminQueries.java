package org.magnoliapick.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.stream.Collectors;
import org.magnoliapick.config.ConfigState;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.record.SummaryBatch;

/** Answers the questions that the administration API asks every instance. */
public final class AdminQueries implements QueryHandler {
    /** Asks for the configuration in force. */
    public static final String STATUS = "admin-status";

    /** Asks for the story of a request; the content is its identifier. */
    public static final String STORY = "admin-story";

    /** Asks for the summaries since a time, one a line; the content is the time in milliseconds. */
    public static final String SUMMARIES = "admin-summaries";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final ConfigFollower mFollower;
    private final DecisionKeeper mDecisions;

    /** Creates a handler that answers from the given parts. */
    public AdminQueries(ConfigFollower follower, DecisionKeeper decisions) {
        mFollower = follower;
        mDecisions = decisions;
    }

    /**
     * The configuration in force at one instance.
     *
     * @param offset its offset
     * @param digest the hash of its content, the same one everywhere at the same offset
     * @param isReady whether there is one
     * @param log what the last read of the log found
     */
    public record Status(long offset, String digest, boolean isReady, String log) {}

    @Override
    public Optional<byte[]> answer(String topic, byte[] content) {
        String question = new String(content, StandardCharsets.UTF_8);
        if (topic.equals(STATUS)) {
            return Optional.of(json(status()));
        }
        if (topic.equals(STORY)) {
            byte[] none = json(null);
            return Optional.of(
                    mDecisions.story(new RequestId(question)).map(this::json).orElse(none));
        }
        if (topic.equals(SUMMARIES)) {
            return Optional.of(summaries(Long.parseLong(question)));
        }
        return Optional.empty();
    }

    private Status status() {
        return mFollower.read(
                state ->
                        new Status(
                                state.offset(),
                                digest(state),
                                mFollower.isReady(),
                                mFollower.lastStep().name()));
    }

    private static String digest(ConfigState state) {
        final int shownDigits = 16;
        return state.digest().substring(0, shownDigits);
    }

    private byte[] summaries(long fromMillis) {
        return mDecisions.since(fromMillis).stream()
                .map(SummaryBatch::encode)
                .map(line -> new String(line, StandardCharsets.UTF_8))
                .collect(Collectors.joining("\n"))
                .getBytes(StandardCharsets.UTF_8);
    }

    private byte[] json(Object answer) {
        try {
            return MAPPER.writeValueAsBytes(answer);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("Every answer can be written", e);
        }
    }
}
