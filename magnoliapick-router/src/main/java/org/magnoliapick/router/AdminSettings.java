package org.magnoliapick.router;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.Pattern;

/** How the instance is administered. */
public final class AdminSettings {
    /** The most decisions kept in memory. */
    @JsonProperty
    @Min(100)
    @Max(1_000_000)
    public final int maxDecisions;

    /**
     * The SHA-256 hash of a key that may do everything until the first operator is entered; null if
     * there is none.
     */
    @JsonProperty
    @Pattern(regexp = "[0-9a-f]{64}", message = "must be 64 lower-case hexadecimal digits")
    public final String bootstrapKeySha256;

    /** Takes the defaults. */
    public AdminSettings() {
        this(null, null);
    }

    /** Takes what is set, and the default where nothing is. */
    public AdminSettings(
            @JsonProperty("maxDecisions") Integer maxDecisions,
            @JsonProperty("bootstrapKeySha256") String bootstrapKeySha256) {
        this.maxDecisions = maxDecisions == null ? 20_000 : maxDecisions;
        this.bootstrapKeySha256 = bootstrapKeySha256;
    }
}
