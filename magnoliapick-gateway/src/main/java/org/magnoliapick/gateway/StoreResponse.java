package org.magnoliapick.gateway;

import java.util.List;
import java.util.Optional;

/** The response of the store to a read. */
public sealed interface StoreResponse {
    /**
     * A page of records in the order of their offsets, or of their keys.
     *
     * @param records the records
     * @param endOffset the end offset of the topic when the page was read
     * @param nextPageAfterKey the key after which the next page begins, if there is a next page
     */
    record Page(List<StoreRecord> records, long endOffset, Optional<String> nextPageAfterKey)
            implements StoreResponse {
        /** Copies the records. */
        public Page {
            records = List.copyOf(records);
        }
    }

    /** The requested offset is no longer retained. */
    record Compacted() implements StoreResponse {}

    /** The read failed, or its response could not be parsed. */
    record Failed(String reason) implements StoreResponse {}
}
