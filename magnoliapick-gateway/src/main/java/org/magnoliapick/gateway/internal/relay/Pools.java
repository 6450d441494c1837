package org.magnoliapick.gateway.internal.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.magnoliapick.gateway.AddressPort;
import org.magnoliapick.gateway.internal.http.Connector;
import org.magnoliapick.gateway.internal.http.ServerConnections;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.pool.InstanceReport;
import org.magnoliapick.pool.ListedUpstream;
import org.magnoliapick.pool.PoolAction;
import org.magnoliapick.pool.PoolJob;
import org.magnoliapick.pool.PoolScheduler;
import org.magnoliapick.pool.PoolSettings;
import org.magnoliapick.pool.Ticket;
import org.magnoliapick.pool.UpstreamDirectory;
import org.magnoliapick.request.AttemptEnd;
import org.magnoliapick.route.ServiceSpec;
import org.magnoliapick.route.TrafficConfig;

/** The pools of all services with the connections to their upstreams. */
public final class Pools {
    private final Connector mConnector;
    private final PoolSettings mSettings;
    private final Map<String, PoolScheduler> mPools = new HashMap<>();
    private final Map<UpstreamId, Link> mLinks = new HashMap<>();
    private final UpstreamDirectory mDirectory;
    private final Consumer<PoolAction> mSink;
    private Optional<TrafficConfig> mConfig = Optional.empty();

    /**
     * Creates the pools.
     *
     * @param sink carries out what is decided
     */
    public Pools(
            Connector connector,
            PoolSettings settings,
            UpstreamDirectory directory,
            Consumer<PoolAction> sink) {
        mConnector = connector;
        mSettings = settings;
        mDirectory = directory;
        mSink = sink;
    }

    /** Takes over a version of the configuration. */
    public void configured(TrafficConfig config) {
        mConfig = Optional.of(config);
        mPools.forEach((name, pool) -> config.service(name).ifPresent(pool::configure));
    }

    /** Takes over a change of the directory. */
    public void listed(long nowMillis) {
        mPools.forEach((name, pool) -> pool.listed(mDirectory.usable(name)));
        Map<UpstreamId, ListedUpstream> usable = new HashMap<>();
        mDirectory.usable().forEach(each -> usable.put(each.id(), each));
        mLinks.values()
                .removeIf(
                        link -> {
                            ListedUpstream now = usable.get(link.upstream().id());
                            boolean over = now == null || !now.sameLife(link.upstream());
                            if (over) {
                                link.connections().close();
                            }
                            return over;
                        });
        tick(nowMillis);
    }

    /** Takes a request that asks for an upstream. */
    public void submit(PoolJob job, long nowMillis) {
        carryOut(pool(job.request().service()).submit(job, nowMillis));
    }

    /** Drops a waiting request. */
    public void withdraw(PoolJob job) {
        pool(job.request().service()).withdraw(job);
    }

    /** Notes the first event or head of an answer. */
    public void answering(PoolJob job, Ticket ticket, long nowMillis) {
        pool(job.request().service()).answering(ticket, nowMillis);
    }

    /** Notes the end of an attempt. */
    public void ended(PoolJob job, Ticket ticket, Optional<AttemptEnd> end, long nowMillis) {
        carryOut(pool(job.request().service()).ended(ticket, end, nowMillis));
    }

    /** Lets time pass. */
    public void tick(long nowMillis) {
        for (PoolScheduler pool : List.copyOf(mPools.values())) {
            carryOut(pool.tick(nowMillis));
        }
    }

    /** Closes idle connections that are about to lapse. */
    public void sweep(long nowMillis) {
        mLinks.values().forEach(link -> link.connections().sweep(nowMillis));
    }

    /** Returns how many requests wait in all pools. */
    public int waiting() {
        return mPools.values().stream().mapToInt(PoolScheduler::waiting).sum();
    }

    /** Takes what another instance told. */
    public void peer(InstanceReport report, long nowMillis) {
        report.pools().forEach(use -> pool(use.service()).peer(report.instance(), use, nowMillis));
    }

    /** Returns the pools by their services' names. */
    public Map<String, PoolScheduler> pools() {
        return mPools;
    }

    /** Returns the connections to an upstream. */
    public ServerConnections connections(ListedUpstream upstream) {
        Link link = mLinks.get(upstream.id());
        if (link == null || !link.upstream().sameLife(upstream)) {
            AddressPort address = AddressPort.parse(upstream.address());
            link = new Link(upstream, new ServerConnections(mConnector, address));
            mLinks.put(upstream.id(), link);
        }
        return link.connections();
    }

    private PoolScheduler pool(String service) {
        return mPools.computeIfAbsent(
                service,
                name -> {
                    ServiceSpec spec =
                            mConfig.flatMap(config -> config.service(name))
                                    .orElse(new ServiceSpec(name, 0, Optional.empty()));
                    PoolScheduler pool = new PoolScheduler(spec, mSettings);
                    pool.listed(mDirectory.usable(name));
                    return pool;
                });
    }

    private void carryOut(List<PoolAction> actions) {
        actions.forEach(mSink);
    }

    private record Link(ListedUpstream upstream, ServerConnections connections) {}
}
