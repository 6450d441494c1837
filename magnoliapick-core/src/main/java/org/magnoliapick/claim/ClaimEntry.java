package org.magnoliapick.claim;

import java.util.Objects;
import org.magnoliapick.lib.AttemptId;
import org.magnoliapick.lib.InstanceId;

/** An entry of a claim stream. */
public sealed interface ClaimEntry {
    /** Returns the key of the claim. */
    ClaimKey key();

    /** Returns the identifier of the claim that the entry makes or ends. */
    AttemptId claim();

    /**
     * Claims the right to run the request with a key.
     *
     * @param key the key
     * @param claim the identifier of this claim, unique across the fleet
     * @param instance the instance that will run the request
     * @param digest a digest of the request's content
     */
    record Claim(ClaimKey key, AttemptId claim, InstanceId instance, String digest)
            implements ClaimEntry {
        public Claim {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(claim, "claim");
            Objects.requireNonNull(instance, "instance");
            Objects.requireNonNull(digest, "digest");
        }
    }

    /**
     * Records the outcome of a claim.
     *
     * @param key the key
     * @param claim the claim that ended
     * @param outcome how the claim ended
     */
    record Ended(ClaimKey key, AttemptId claim, ClaimOutcome outcome) implements ClaimEntry {
        public Ended {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(claim, "claim");
            Objects.requireNonNull(outcome, "outcome");
        }
    }
}
