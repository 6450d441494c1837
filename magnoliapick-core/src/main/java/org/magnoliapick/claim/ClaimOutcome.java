package org.magnoliapick.claim;

import com.fasterxml.jackson.annotation.JsonProperty;

/** How the request that won a claim ended. */
public enum ClaimOutcome {
    /** It ran and its answer came whole. */
    @JsonProperty("done")
    DONE,
    /** It was not run and never will be; the key is free again. */
    @JsonProperty("not-run")
    NOT_RUN,
    /** Nobody can tell whether it ran; the key stays taken. */
    @JsonProperty("unknown")
    UNKNOWN
}
