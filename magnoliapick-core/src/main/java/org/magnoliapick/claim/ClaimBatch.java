package org.magnoliapick.claim;

import java.util.List;

/**
 * Entries that are appended to a claim stream as one record of the log, in order.
 *
 * @param entries the entries
 */
public record ClaimBatch(List<ClaimEntry> entries) {
    /** Copies the entries. */
    public ClaimBatch {
        entries = List.copyOf(entries);
    }
}
