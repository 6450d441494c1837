package org.magnoliapick.router;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.dropwizard.util.DataSize;
import io.dropwizard.util.Duration;
import io.dropwizard.validation.MaxDuration;
import io.dropwizard.validation.MinDuration;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import java.util.concurrent.TimeUnit;

/** What callers of one instance may use. Sizes and times are written with their unit. */
public final class LimitSettings {
    /** The largest request body. */
    @JsonProperty @NotNull public final DataSize maxBody;

    /** The most bytes of an answer that wait for a slow caller. */
    @JsonProperty @NotNull public final DataSize maxUnsent;

    /** The most requests that wait in this instance. */
    @JsonProperty
    @Min(1)
    @Max(1_000_000)
    public final int maxQueued;

    /** The most attempts at upstreams at a time. */
    @JsonProperty
    @Min(1)
    @Max(20_000)
    public final int maxAttempts;

    /** The time a request may take where the caller gives no deadline. */
    @JsonProperty
    @NotNull
    @MinDuration(value = 10, unit = TimeUnit.MILLISECONDS)
    @MaxDuration(value = 1, unit = TimeUnit.HOURS)
    public final Duration defaultDeadline;

    /** The time that the balancer needs to see that this instance is not ready. */
    @JsonProperty
    @NotNull
    @MaxDuration(value = 1, unit = TimeUnit.MINUTES)
    public final Duration balancerDelay;

    /** The longest time that a planned stop waits for requests in progress. */
    @JsonProperty
    @NotNull
    @MaxDuration(value = 1, unit = TimeUnit.HOURS)
    public final Duration drainTime;

    /** Takes the defaults. */
    public LimitSettings() {
        this(null, null, null, null, null, null, null);
    }

    /** Takes what is set, and the default where nothing is. */
    public LimitSettings(
            @JsonProperty("maxBody") DataSize maxBody,
            @JsonProperty("maxUnsent") DataSize maxUnsent,
            @JsonProperty("maxQueued") Integer maxQueued,
            @JsonProperty("maxAttempts") Integer maxAttempts,
            @JsonProperty("defaultDeadline") Duration defaultDeadline,
            @JsonProperty("balancerDelay") Duration balancerDelay,
            @JsonProperty("drainTime") Duration drainTime) {
        this.maxBody = orElse(maxBody, DataSize.mebibytes(1));
        this.maxUnsent = orElse(maxUnsent, DataSize.mebibytes(1));
        this.maxQueued = orElse(maxQueued, 10_000);
        this.maxAttempts = orElse(maxAttempts, 512);
        this.defaultDeadline = orElse(defaultDeadline, Duration.seconds(60));
        this.balancerDelay = orElse(balancerDelay, Duration.seconds(2));
        this.drainTime = orElse(drainTime, Duration.minutes(10));
    }

    private static <T> T orElse(T value, T defaultValue) {
        return value == null ? defaultValue : value;
    }
}
