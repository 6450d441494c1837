package org.magnoliapick.router.internal.admin;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.binder.jvm.JvmGcMetrics;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import org.magnoliapick.admin.ConfigFollower;
import org.magnoliapick.record.Cause;
import org.magnoliapick.record.RequestEnd;
import org.magnoliapick.router.internal.Readiness;
import org.magnoliapick.router.internal.share.ShareLoop;
import org.magnoliapick.rpc.PeerLinks;

/**
 * The metrics of one instance. No meter is tagged with a workspace: with 5,700 of them the series
 * would outgrow the budget; what a workspace received is told by the summaries of decisions.
 */
@Singleton
public final class RouterMetrics {
    private final PrometheusMeterRegistry mRegistry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<Cause, Counter> mEnds = new EnumMap<>(Cause.class);
    private final Timer mLatency;
    private final Timer mFirstToken;

    @Inject
    RouterMetrics(PeerLinks links, ShareLoop shares, ConfigFollower config, Readiness readiness) {
        for (Cause cause : Cause.values()) {
            mEnds.put(
                    cause,
                    Counter.builder("magnoliapick.requests")
                            .description("Requests that have ended, by cause")
                            .tag("cause", cause.wireName())
                            .register(mRegistry));
        }
        mLatency = timer("magnoliapick.request.latency", "Time from arrival to end");
        mFirstToken = timer("magnoliapick.request.first.token", "Time to the first token");
        registerControl(links, shares);
        Gauge.builder("magnoliapick.config.offset", config, c -> c.config().offset())
                .description("Log offset of the configuration in force")
                .register(mRegistry);
        Gauge.builder("magnoliapick.ready", readiness, r -> r.isReady() ? 1 : 0)
                .description("Whether the balancer should send requests")
                .register(mRegistry);
        new JvmMemoryMetrics().bindTo(mRegistry);
        new ProcessorMetrics().bindTo(mRegistry);
        bindGc();
    }

    private void registerControl(PeerLinks links, ShareLoop shares) {
        FunctionCounter.builder("magnoliapick.control.sent", links, PeerLinks::sentBytes)
                .description("Control traffic sent to other instances")
                .baseUnit("bytes")
                .register(mRegistry);
        FunctionCounter.builder("magnoliapick.control.bundles", links, PeerLinks::sentBundles)
                .description("Bundles sent to other instances")
                .register(mRegistry);
        FunctionCounter.builder("magnoliapick.control.dropped", links, PeerLinks::droppedItems)
                .description("Items dropped because an instance could not be reached")
                .register(mRegistry);
        Gauge.builder("magnoliapick.share.events.waiting", shares, ShareLoop::waitingEvents)
                .description("Events that wait for the thread of the shares")
                .register(mRegistry);
    }

    @SuppressWarnings("resource")
    private void bindGc() {
        // Lives as long as the process.
        new JvmGcMetrics().bindTo(mRegistry);
    }

    private Timer timer(String name, String description) {
        return Timer.builder(name)
                .description(description)
                .publishPercentileHistogram()
                .minimumExpectedValue(Duration.ofMillis(1))
                .maximumExpectedValue(Duration.ofMinutes(1))
                .register(mRegistry);
    }

    /** Counts a request that has ended. */
    public void ended(RequestEnd end) {
        mEnds.get(end.cause()).increment();
        mLatency.record(Duration.ofMillis(end.latencyMillis()));
        end.firstTokenMillis().ifPresent(it -> mFirstToken.record(Duration.ofMillis(it)));
    }

    /** Returns all meters in the text format of Prometheus. */
    public String scrape() {
        return mRegistry.scrape();
    }
}
