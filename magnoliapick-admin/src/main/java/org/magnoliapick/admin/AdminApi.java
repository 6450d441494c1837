package org.magnoliapick.admin;

import io.dropwizard.jersey.setup.JerseyEnvironment;
import java.util.List;
import org.magnoliapick.admin.internal.ChangesResource;
import org.magnoliapick.admin.internal.ExplainResource;
import org.magnoliapick.admin.internal.FleetResource;
import org.magnoliapick.admin.internal.KeysResource;
import org.magnoliapick.admin.internal.OperatorAuth;
import org.magnoliapick.admin.internal.ReportResource;
import org.magnoliapick.admin.internal.SettingsResource;
import org.magnoliapick.admin.internal.WorkspacesResource;

/** The administration API under {@code /admin/v1}. Every entry instance serves it. */
public final class AdminApi {
    private AdminApi() {}

    /** Registers the API with a server. */
    public static void register(JerseyEnvironment jersey, AdminServices services) {
        OperatorAuth.providers(services).forEach(jersey::register);
        resources(services).forEach(jersey::register);
    }

    /** Returns the resources of the API. */
    public static List<Object> resources(AdminServices services) {
        return List.of(
                new SettingsResource(services),
                new ChangesResource(services),
                new WorkspacesResource(services),
                new KeysResource(services),
                new FleetResource(services),
                new ExplainResource(services),
                new ReportResource(services));
    }
}
