package org.magnoliapick.router;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.constraints.NotNull;
import org.magnoliapick.share.SharePolicy;

/** How capacity is shared. */
public final class SharingSettings {
    /** The policy; all instances of a fleet use the same. */
    @JsonProperty @NotNull public final SharePolicy policy;

    /** Takes the default. */
    public SharingSettings() {
        this(null);
    }

    /** Takes what is set. */
    public SharingSettings(@JsonProperty("policy") SharePolicy policy) {
        this.policy = policy == null ? SharePolicy.DISPATCHER : policy;
    }
}
