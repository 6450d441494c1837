package org.magnoliapick.ports;

import java.util.List;

/**
 * A run of entries of a stream, without gaps.
 *
 * @param entries the entries, lowest offset first
 * @param firstKeptOffset the lowest offset that the log still keeps
 * @param endOffset the offset that the next entry of the stream will get
 */
public record LogPage(List<LogEntry> entries, long firstKeptOffset, long endOffset) {
    /** Copies the entries. */
    public LogPage {
        entries = List.copyOf(entries);
    }
}
