package org.magnoliapick.limit;

import java.util.List;

/**
 * The cold states that changed at the sender since a version.
 *
 * @param version the sender's version that the receiver knows afterwards
 * @param statements the states that changed
 */
public record ColdUpdate(long version, List<ColdStatement> statements) {
    /** Copies the list. */
    public ColdUpdate {
        statements = List.copyOf(statements);
    }
}
