package org.magnoliapick.admin.internal;

import io.dropwizard.auth.Auth;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.MediaType;
import org.magnoliapick.admin.AdminServices;
import org.magnoliapick.config.Role;
import org.magnoliapick.record.BurnCalculator;
import org.magnoliapick.record.BurnReport;
import org.magnoliapick.record.SummaryHistory;

/** Reports. */
@Path("/admin/v1/report")
@Produces(MediaType.APPLICATION_JSON)
public final class ReportResource {
    private final AdminServices mServices;

    /** Creates the resource. */
    public ReportResource(AdminServices services) {
        mServices = services;
    }

    /** Returns the service levels of the last hour. */
    @GET
    @Path("burn")
    public BurnReport burn(@Auth Operator operator) {
        operator.require(Role.READ, "");
        long nowMillis = mServices.clock().millis();
        long fromMillis = nowMillis - SummaryHistory.RETENTION_MILLIS;
        FleetCalls.Gathered gathered = FleetCalls.summaries(mServices, fromMillis);
        return new BurnCalculator(gathered.windows(), mServices.follower().config(), nowMillis)
                .report(gathered.unanswered());
    }
}
