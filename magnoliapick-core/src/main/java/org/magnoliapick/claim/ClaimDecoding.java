package org.magnoliapick.claim;

/** The result of reading the bytes of a claim batch. */
public sealed interface ClaimDecoding {
    /**
     * The bytes hold a batch.
     *
     * @param batch the batch
     */
    record Decoded(ClaimBatch batch) implements ClaimDecoding {}

    /**
     * The bytes hold no batch; every reader skips them alike.
     *
     * @param reason what is wrong
     */
    record Rejected(String reason) implements ClaimDecoding {}
}
