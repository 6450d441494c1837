package org.magnoliapick.claim;

import java.util.Objects;
import org.magnoliapick.lib.AttemptId;
import org.magnoliapick.lib.InstanceId;

/** One entry of a claim stream. */
public sealed interface ClaimEntry {
    /** Returns the key that the entry is about. */
    ClaimKey key();

    /** Returns the identifier of the claim that the entry makes or ends. */
    AttemptId claim();

    /**
     * Asks for the right to run the request with a key.
     *
     * @param key the key
     * @param claim the identifier of this claim, unique across the fleet
     * @param instance the instance that will run the request
     * @param digest a digest of the request's content
     */
    record Claim(ClaimKey key, AttemptId claim, InstanceId instance, String digest)
            implements ClaimEntry {
        /** Checks that every part is present. */
        public Claim {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(claim, "claim");
            Objects.requireNonNull(instance, "instance");
            Objects.requireNonNull(digest, "digest");
        }
    }

    /**
     * Says how a claim ended.
     *
     * @param key the key
     * @param claim the claim that ended
     * @param outcome how
     */
    record Ended(ClaimKey key, AttemptId claim, ClaimOutcome outcome) implements ClaimEntry {
        /** Checks that every part is present. */
        public Ended {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(claim, "claim");
            Objects.requireNonNull(outcome, "outcome");
        }
    }
}
