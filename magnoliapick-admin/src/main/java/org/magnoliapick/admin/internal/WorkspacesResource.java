package org.magnoliapick.admin.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.DoubleNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.dropwizard.auth.Auth;
import jakarta.ws.rs.BeanParam;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import java.util.Comparator;
import org.magnoliapick.admin.AdminServices;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.config.Role;
import org.magnoliapick.config.WorkspaceConfig;

/** Workspaces. */
@Path("/admin/v1")
@Produces(MediaType.APPLICATION_JSON)
public final class WorkspacesResource {
    private final AdminServices mServices;

    /** Creates the resource. */
    public WorkspacesResource(AdminServices services) {
        mServices = services;
    }

    static String path(String team, String workspace) {
        return "teams/" + team + "/workspaces/" + workspace;
    }

    /** Returns the workspaces that the operator may read. */
    @GET
    @Path("workspaces")
    public ArrayNode list(@Auth Operator operator) {
        FleetConfig config = mServices.follower().config();
        ArrayNode body = JsonNodeFactory.instance.arrayNode();
        config.workspaces().values().stream()
                .filter(it -> operator.allows(Role.READ, path(it.team(), it.id().value())))
                .sorted(Comparator.comparing(WorkspaceConfig::id))
                .forEach(
                        it ->
                                body.addObject()
                                        .put("workspace", it.id().value())
                                        .put("team", it.team())
                                        .put("weight", it.weight())
                                        .put("teamWeight", config.teamWeight(it.team()))
                                        .put("maxQueued", it.maxQueued())
                                        .put("keys", it.keyHashes().size()));
        return body;
    }

    /** Creates a workspace; the body gives its name and perhaps its weight and max-queued. */
    @POST
    @Path("teams/{team}/workspaces")
    public Response create(
            @Auth Operator operator,
            @PathParam("team") String team,
            @BeanParam ChangeParams params,
            byte[] body) {
        JsonNode node = SettingsBody.read(body);
        String path = path(team, SettingsBody.text(node, "name"));
        JsonNode weight =
                node.has("weight")
                        ? node.get("weight")
                        : DoubleNode.valueOf(FleetConfig.DEFAULT_WEIGHT);
        Change change =
                new Change(mServices, operator, params)
                        .expect(path, -1)
                        .set(path + "/weight", weight);
        if (node.has("max-queued")) {
            change.set(path + "/max-queued", node.get("max-queued"));
        }
        return change.run(Response.Status.CREATED);
    }
}
