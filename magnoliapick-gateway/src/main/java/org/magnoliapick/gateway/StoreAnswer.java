package org.magnoliapick.gateway;

import java.util.List;
import java.util.Optional;

/** What the store answered to a reading call. */
public sealed interface StoreAnswer {
    /**
     * Records in the order of their offsets, or of their keys.
     *
     * @param records the records
     * @param endOffset where the topic ended
     * @param moreAfterKey the key after which the next page begins, if there is one
     */
    record Page(List<StoreRecord> records, long endOffset, Optional<String> moreAfterKey)
            implements StoreAnswer {
        /** Copies the records. */
        public Page {
            records = List.copyOf(records);
        }
    }

    /** The records asked for are no longer kept. */
    record Compacted() implements StoreAnswer {}

    /** The store did not do what was asked. */
    record Failed(String reason) implements StoreAnswer {}
}
