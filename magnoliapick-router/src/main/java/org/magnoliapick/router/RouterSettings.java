package org.magnoliapick.router;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonProperty;
import io.dropwizard.core.Configuration;
import io.dropwizard.validation.ValidationMethod;
import jakarta.validation.Valid;
import jakarta.validation.constraints.NotNull;

/** The settings of an entry instance, read from a YAML file. */
public class RouterSettings extends Configuration {
    @Valid @NotNull private InstanceSettings mInstance;
    @Valid @NotNull private PeerSettings mPeers;
    @Valid @NotNull private PlatformAddresses mPlatform;
    @Valid @NotNull private LimitSettings mLimits = new LimitSettings();
    @Valid @NotNull private SharingSettings mSharing = new SharingSettings();
    @Valid @NotNull private ClaimSettings mClaims = new ClaimSettings();
    @Valid @NotNull private AdminSettings mAdmin = new AdminSettings();

    /** Returns who and where this instance is. */
    @JsonProperty("instance")
    public InstanceSettings instance() {
        return mInstance;
    }

    /** Returns how this instance talks with the others. */
    @JsonProperty("peers")
    public PeerSettings peers() {
        return mPeers;
    }

    /** Returns where the platform's services listen. */
    @JsonProperty("platform")
    public PlatformAddresses platform() {
        return mPlatform;
    }

    /** Returns the limits on what callers may use. */
    @JsonProperty("limits")
    public LimitSettings limits() {
        return mLimits;
    }

    /** Returns how capacity is shared. */
    @JsonProperty("sharing")
    public SharingSettings sharing() {
        return mSharing;
    }

    /** Returns how claims are carried. */
    @JsonProperty("claims")
    public ClaimSettings claims() {
        return mClaims;
    }

    @JsonProperty("claims")
    void setClaims(ClaimSettings claims) {
        mClaims = claims;
    }

    /**
     * Checks that an idempotency key is remembered for longer than its request can take: no
     * deadline is longer than the drain time.
     */
    @JsonIgnore
    @ValidationMethod(message = "claims.window must be longer than limits.drainTime")
    public boolean isClaimWindowLongEnough() {
        return mClaims == null
                || mLimits == null
                || mClaims.window.toMilliseconds() > mLimits.drainTime.toMilliseconds();
    }

    /** Returns how the instance is administered. */
    @JsonProperty("admin")
    public AdminSettings admin() {
        return mAdmin;
    }

    @JsonProperty("admin")
    void setAdmin(AdminSettings admin) {
        mAdmin = admin;
    }

    @JsonProperty("instance")
    void setInstance(InstanceSettings instance) {
        mInstance = instance;
    }

    @JsonProperty("peers")
    void setPeers(PeerSettings peers) {
        mPeers = peers;
    }

    @JsonProperty("platform")
    void setPlatform(PlatformAddresses platform) {
        mPlatform = platform;
    }

    @JsonProperty("limits")
    void setLimits(LimitSettings limits) {
        mLimits = limits;
    }

    @JsonProperty("sharing")
    void setSharing(SharingSettings sharing) {
        mSharing = sharing;
    }
}
