package org.magnoliapick.router.internal.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.magnoliapick.ports.LogEntry;
import org.magnoliapick.ports.LogPage;

/**
 * What a relay answers to an instance that reads the configuration through it.
 *
 * @param state whether the relay can serve the offset
 * @param entries the entries from the offset asked for on, if it can
 * @param firstKeptOffset the lowest offset that the log keeps
 * @param endOffset the offset behind the last entry that the relay knows
 */
record RelayedPage(State state, List<LogEntry> entries, long firstKeptOffset, long endOffset) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Whether a relay can serve an offset. */
    enum State {
        /** The page holds what the relay knows from the offset on. */
        SERVED,
        /** The relay no longer has entries that old; the log has to be read. */
        TOO_OLD,
        /** The relay cannot reach the log either, so asking the log would not help. */
        LOG_OUT
    }

    static RelayedPage without(State state) {
        return new RelayedPage(state, List.of(), 0, 0);
    }

    LogPage toLogPage() {
        return new LogPage(entries, firstKeptOffset, endOffset);
    }

    byte[] encode() {
        try {
            return JSON.writeValueAsBytes(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("A page can always be written", e);
        }
    }

    static Optional<RelayedPage> decode(byte[] bytes) {
        try {
            return Optional.ofNullable(JSON.readValue(bytes, RelayedPage.class))
                    .filter(page -> page.state() != null && page.entries() != null);
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
