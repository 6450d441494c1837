package org.magnoliapick.router.internal;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;

/** What the platform's balancer asks. */
@Singleton
@Path("/health")
@Produces(MediaType.TEXT_PLAIN)
public final class HealthResource {
    private final Readiness mReadiness;

    @Inject
    HealthResource(Readiness readiness) {
        mReadiness = readiness;
    }

    /** Says that the process answers. */
    @GET
    @Path("/live")
    public String live() {
        return "live\n";
    }

    /** Says whether new requests should come here. */
    @GET
    @Path("/ready")
    public Response ready() {
        return mReadiness.isReady()
                ? Response.ok("ready\n").build()
                : Response.status(Response.Status.SERVICE_UNAVAILABLE)
                        .entity("not ready\n")
                        .build();
    }
}
