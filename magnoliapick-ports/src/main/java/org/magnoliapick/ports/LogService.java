package org.magnoliapick.ports;

import java.time.Duration;
import java.util.Optional;

/** The platform's log service: append-only streams with offsets. Calls block. */
public interface LogService {
    /** Appends an entry to a stream, which exists from its first entry on. */
    AppendResult append(String stream, byte[] payload, Duration timeout);

    /**
     * Reads a page from an offset on, waiting up to the given time for a first entry. Where the
     * offset is no longer kept the page starts at the lowest kept one.
     *
     * @return the page, or empty if the log did not answer
     */
    Optional<LogPage> read(String stream, long fromOffset, int maxEntries, Duration wait);
}
