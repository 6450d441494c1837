package org.magnoliapick.gateway;

import java.util.List;
import java.util.Optional;

/** What the store answered to a reading call. */
public sealed interface StoreResponse {
    /**
     * Records in the order of their offsets, or of their keys.
     *
     * @param records the records
     * @param endOffset where the topic ended
     * @param nextPageAfterKey the key after which the next page begins, if there is one
     */
    record Page(List<StoreRecord> records, long endOffset, Optional<String> nextPageAfterKey)
            implements StoreResponse {
        /** Copies the records. */
        public Page {
            records = List.copyOf(records);
        }
    }

    /** The records asked for are no longer kept. */
    record Compacted() implements StoreResponse {}

    /** The store did not do what was asked. */
    record Failed(String reason) implements StoreResponse {}
}
