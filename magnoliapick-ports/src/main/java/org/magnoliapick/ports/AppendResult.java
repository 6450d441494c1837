package org.magnoliapick.ports;

/** How an append to the log ended. */
public sealed interface AppendResult {
    /**
     * The entry is in the log.
     *
     * @param offset its offset
     */
    record Appended(long offset) implements AppendResult {}

    /**
     * The entry is not in the log and will not be.
     *
     * @param reason what the log said
     */
    record Refused(String reason) implements AppendResult {}

    /**
     * The entry may or may not be in the log: the answer was lost.
     *
     * @param reason what was seen
     */
    record Unknown(String reason) implements AppendResult {}
}
