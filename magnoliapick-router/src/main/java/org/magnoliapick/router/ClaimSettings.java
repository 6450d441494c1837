package org.magnoliapick.router;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.dropwizard.util.Duration;
import io.dropwizard.validation.MaxDuration;
import io.dropwizard.validation.MinDuration;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import java.util.concurrent.TimeUnit;

/** How claims are carried. All instances of a fleet use the same shards and window. */
public final class ClaimSettings {
    /** The number of claim streams. */
    @JsonProperty
    @Min(1)
    @Max(256)
    public final int shards;

    /** How long an idempotency key is remembered; less than the log's retention. */
    @JsonProperty
    @NotNull
    @MinDuration(value = 10, unit = TimeUnit.MINUTES)
    @MaxDuration(value = 30, unit = TimeUnit.DAYS)
    public final Duration window;

    /** The least time between two appends to one stream. */
    @JsonProperty
    @NotNull
    @MinDuration(value = 1, unit = TimeUnit.MILLISECONDS)
    @MaxDuration(value = 5, unit = TimeUnit.SECONDS)
    public final Duration linger;

    /** Takes the defaults. */
    public ClaimSettings() {
        this(null, null, null);
    }

    /** Takes what is set, and the default where nothing is. */
    public ClaimSettings(
            @JsonProperty("shards") Integer shards,
            @JsonProperty("window") Duration window,
            @JsonProperty("linger") Duration linger) {
        this.shards = shards == null ? 2 : shards;
        this.window = window == null ? Duration.hours(1) : window;
        this.linger = linger == null ? Duration.milliseconds(25) : linger;
    }
}
