package org.magnoliapick.gateway.internal.relay;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.magnoliapick.gateway.Dialect;
import org.magnoliapick.gateway.internal.log.EventLog;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.relay.FleetRetryBudget;
import org.magnoliapick.route.TrafficConfig;

/** What all relays of an instance share. Everything runs on the one event loop. */
public final class RelayContext {
    private final EventLoop mLoop;
    private final FailureDomain mDomain;
    private final LongSupplier mClockMillis;
    private final Dialect mDialect;
    private FleetRetryBudget mBudget;
    private final EventLog mLog;
    private final RelayCounters mCounters = new RelayCounters();
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

    /** Puts a version of the configuration in force. */
    public void applyConfig(TrafficConfig config) {
        mConfig = Optional.of(config);
    }

    /** Returns the configuration in force. */
    public Optional<TrafficConfig> config() {
        return mConfig;
    }

    /** Returns the time in milliseconds, which never goes back. */
    public long nowMillis() {
        return mClockMillis.getAsLong();
    }

    /** Returns what was counted. */
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

    /** Notes how many instances share the budget for repeats. */
    public void setInstances(int instances) {
        mBudget.updateFleetSize(instances);
    }

    /** Puts another budget for repeats in force. */
    public void setBudget(FleetRetryBudget budget) {
        budget.adoptFleetSize(mBudget);
        mBudget = budget;
    }

    FleetRetryBudget budget() {
        return mBudget;
    }

    EventLog log() {
        return mLog;
    }
}
