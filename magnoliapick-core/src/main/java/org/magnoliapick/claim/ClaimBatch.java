package org.magnoliapick.claim;

import java.util.List;

/**
 * The entries of one log record in a claim stream, in order.
 *
 * @param entries the entries
 */
public record ClaimBatch(List<ClaimEntry> entries) {
    public ClaimBatch {
        entries = List.copyOf(entries);
    }
}
