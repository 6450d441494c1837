package org.magnoliapick.gateway.internal.relay;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.magnoliapick.gateway.Dialect;
import org.magnoliapick.gateway.internal.http.BufferBudget;
import org.magnoliapick.gateway.internal.log.EventLog;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.limit.RateLimits;
import org.magnoliapick.limit.UpstreamPauses;
import org.magnoliapick.quarantine.PromptQuarantine;
import org.magnoliapick.relay.FleetRetryBudget;
import org.magnoliapick.route.ServiceSpec;
import org.magnoliapick.route.TrafficConfig;

/** State shared by all relays of an instance. All methods run on the single event loop. */
public final class RelayContext {
    /** One of so many parts of the heap may hold large responses. */
    private static final int RESPONSE_MEMORY_PARTS = 4;

    private final EventLoop mLoop;
    private final FailureDomain mDomain;
    private final LongSupplier mClockMillis;
    private final Dialect mDialect;
    private FleetRetryBudget mBudget;
    private final EventLog mLog;
    private final BufferBudget mResponseBuffers =
            new BufferBudget(Runtime.getRuntime().maxMemory() / RESPONSE_MEMORY_PARTS);
    private final RelayCounters mCounters = new RelayCounters();
    private final PromptQuarantine mQuarantine = new PromptQuarantine();
    private final RateLimits mRateLimits = new RateLimits();
    private final UpstreamPauses mPauses = new UpstreamPauses();
    private final AdmissionGate mAdmission = new AdmissionGate(this);
    private Optional<TrafficConfig> mConfig = Optional.empty();

    /** Creates a context without a configuration. */
    public RelayContext(
            EventLoop loop,
            FailureDomain domain,
            LongSupplier clockMillis,
            Dialect dialect,
            FleetRetryBudget budget,
            EventLog log) {
        mLoop = loop;
        mDomain = domain;
        mClockMillis = clockMillis;
        mDialect = dialect;
        mBudget = budget;
        mLog = log;
    }

    /** Sets the current version of the configuration. */
    public void applyConfig(TrafficConfig config) {
        mConfig = Optional.of(config);
        mAdmission.applyConfig(config);
        Map<String, Long> coldMillis = new HashMap<>();
        for (ServiceSpec each : config.services()) {
            each.cold().ifPresent(cold -> coldMillis.put(each.name(), cold.coldMillis()));
        }
        mRateLimits.cold().configure(coldMillis);
    }

    /** Returns the current configuration; empty until one was read. */
    public Optional<TrafficConfig> config() {
        return mConfig;
    }

    /** Returns the monotonic time in milliseconds. */
    public long nowMillis() {
        return mClockMillis.getAsLong();
    }

    /** Returns the poison requests, which are refused. */
    public PromptQuarantine quarantine() {
        return mQuarantine;
    }

    /** Returns the rate limits of the upstreams. */
    public RateLimits rateLimits() {
        return mRateLimits;
    }

    /** Returns the pauses that upstreams asked instances for. */
    public UpstreamPauses pauses() {
        return mPauses;
    }

    /** Returns what decides which requests are rejected while this instance is overloaded. */
    public AdmissionGate admission() {
        return mAdmission;
    }

    /** Returns the memory for responses of upstreams. */
    BufferBudget responseBuffers() {
        return mResponseBuffers;
    }

    /** Returns the request counters. */
    public RelayCounters counters() {
        return mCounters;
    }

    EventLoop loop() {
        return mLoop;
    }

    FailureDomain domain() {
        return mDomain;
    }

    Dialect dialect() {
        return mDialect;
    }

    /** Sets the number of instances that share the retry budget. */
    public void updateFleetSize(int instances) {
        mBudget.updateFleetSize(instances);
    }

    /** Replaces the retry budget, which adopts what the former one knows. */
    public void setBudget(FleetRetryBudget budget) {
        budget.adopt(mBudget);
        mBudget = budget;
    }

    FleetRetryBudget budget() {
        return mBudget;
    }

    EventLog log() {
        return mLog;
    }
}
