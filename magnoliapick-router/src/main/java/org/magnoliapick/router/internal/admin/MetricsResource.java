package org.magnoliapick.router.internal.admin;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;

/** The metrics, for a Prometheus server to fetch. */
@Singleton
@Path("/metrics")
public final class MetricsResource {
    private final RouterMetrics mMetrics;

    @Inject
    MetricsResource(RouterMetrics metrics) {
        mMetrics = metrics;
    }

    /** Returns all meters. */
    @GET
    @Produces("text/plain; version=0.0.4; charset=utf-8")
    public String metrics() {
        return mMetrics.scrape();
    }
}
