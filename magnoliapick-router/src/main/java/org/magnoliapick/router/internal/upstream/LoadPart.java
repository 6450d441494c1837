package org.magnoliapick.router.internal.upstream;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliapick.lib.TargetKind;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.member.FleetView;
import org.magnoliapick.member.UpstreamMember;
import org.magnoliapick.ports.Endpoint;
import org.magnoliapick.ports.ModelEngine;
import org.magnoliapick.ports.PlainService;
import org.magnoliapick.router.internal.RouterIdentity;
import org.magnoliapick.router.internal.member.ViewListener;
import org.magnoliapick.router.internal.share.ShareLoop;
import org.magnoliapick.router.internal.supervisor.Part;
import org.magnoliapick.share.LoadReport;

/** Fetches the load reports and cache events of the upstreams in the own failure domain. */
@Singleton
public final class LoadPart implements Part, ViewListener {
    private static final Duration TIMEOUT = Duration.ofMillis(500);
    private static final long PERIOD_MILLIS = 500;

    private final RouterIdentity mSelf;
    private final ModelEngine mEngines;
    private final PlainService mServices;
    private final ShareLoop mShares;
    private final Map<UpstreamId, Long> mLastCacheEvent = new HashMap<>();
    private volatile List<UpstreamMember> mUpstreams = List.of();

    @Inject
    LoadPart(RouterIdentity self, ModelEngine engines, PlainService services, ShareLoop shares) {
        mSelf = self;
        mEngines = engines;
        mServices = services;
        mShares = shares;
    }

    @Override
    public String name() {
        return "loads";
    }

    @Override
    public void step() throws InterruptedException {
        for (UpstreamMember upstream : mUpstreams) {
            fetchLoad(upstream);
            if (upstream.kind() == TargetKind.MODEL) {
                fetchCacheEvents(upstream);
            }
        }
        Thread.sleep(PERIOD_MILLIS);
    }

    @Override
    public void viewChanged(FleetView view) {
        mUpstreams =
                view.upstreams().stream()
                        .filter(upstream -> upstream.domain().equals(mSelf.domain()))
                        .toList();
    }

    private void fetchLoad(UpstreamMember upstream) {
        Endpoint endpoint = endpointOf(upstream);
        Optional<LoadReport> report =
                upstream.kind() == TargetKind.MODEL
                        ? mEngines.load(endpoint, TIMEOUT)
                        : mServices.load(endpoint, TIMEOUT);
        report.ifPresent(load -> mShares.loadReported(upstream.id(), load));
    }

    private void fetchCacheEvents(UpstreamMember upstream) {
        long after = mLastCacheEvent.getOrDefault(upstream.id(), 0L);
        mEngines.cacheEvents(endpointOf(upstream), after, TIMEOUT)
                .ifPresent(events -> take(upstream.id(), events));
    }

    private void take(UpstreamId upstream, ModelEngine.CacheEvents events) {
        mLastCacheEvent.put(upstream, events.lastSequence());
        if (!events.stored().isEmpty() || !events.evicted().isEmpty()) {
            mShares.cacheChanged(upstream, events.stored(), events.evicted());
        }
    }

    static Endpoint endpointOf(UpstreamMember upstream) {
        return new Endpoint(upstream.host(), upstream.port());
    }
}
