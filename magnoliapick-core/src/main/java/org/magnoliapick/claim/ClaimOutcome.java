package org.magnoliapick.claim;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The outcome of a claim. */
public enum ClaimOutcome {
    /** The request ran and its answer is complete. */
    @JsonProperty("done")
    DONE,
    /** The request was not run and never will be; the key is released. */
    @JsonProperty("not-run")
    NOT_RUN,
    /** It is unknown whether the request ran; the key stays held. */
    @JsonProperty("unknown")
    UNKNOWN
}
