package org.magnoliapick.claim;

/** The result of decoding a claim batch. */
public sealed interface ClaimDecoding {
    /**
     * The bytes are a valid batch.
     *
     * @param batch the decoded batch
     */
    record Decoded(ClaimBatch batch) implements ClaimDecoding {}

    /**
     * The bytes are not a valid batch; every reader skips them.
     *
     * @param reason why the bytes were rejected
     */
    record Rejected(String reason) implements ClaimDecoding {}
}
