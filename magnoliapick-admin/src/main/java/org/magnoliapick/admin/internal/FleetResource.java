package org.magnoliapick.admin.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.BooleanNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.dropwizard.auth.Auth;
import jakarta.ws.rs.BeanParam;
import jakarta.ws.rs.DELETE;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.PUT;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import java.io.IOException;
import org.magnoliapick.admin.AdminQueries;
import org.magnoliapick.admin.AdminServices;
import org.magnoliapick.admin.FleetAnswer;
import org.magnoliapick.config.Role;

/** The instances of the fleet, and which upstreams get new work. */
@Path("/admin/v1/fleet")
@Produces(MediaType.APPLICATION_JSON)
public final class FleetResource {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final AdminServices mServices;

    /** Creates the resource. */
    public FleetResource(AdminServices services) {
        mServices = services;
    }

    /** Returns the configuration in force on each instance, and which did not answer. */
    @GET
    @Path("status")
    public ObjectNode status(@Auth Operator operator) {
        operator.require(Role.READ, "fleet");
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("offset", mServices.follower().config().offset());
        ArrayNode instances = body.putArray("instances");
        ArrayNode unanswered = body.putArray("unanswered");
        for (FleetAnswer answer : FleetCalls.ask(mServices, AdminQueries.STATUS, "")) {
            if (answer.content().isEmpty()) {
                unanswered.add(answer.instance().value());
            } else {
                ObjectNode node = instances.addObject();
                node.put("instance", answer.instance().value());
                node.setAll(object(answer.content().get()));
            }
        }
        mServices.follower().config().draining().stream()
                .sorted()
                .forEach(body.putArray("draining")::add);
        return body;
    }

    /** Gives an upstream no new work. */
    @PUT
    @Path("upstreams/{upstream}/drain")
    public Response drain(
            @Auth Operator operator,
            @PathParam("upstream") String upstream,
            @BeanParam ChangeParams params) {
        return new Change(mServices, operator, params)
                .set(drainPath(upstream), BooleanNode.TRUE)
                .run(Response.Status.OK);
    }

    /** Gives a drained upstream work again. */
    @DELETE
    @Path("upstreams/{upstream}/drain")
    public Response resume(
            @Auth Operator operator,
            @PathParam("upstream") String upstream,
            @BeanParam ChangeParams params) {
        return new Change(mServices, operator, params)
                .unset(drainPath(upstream))
                .run(Response.Status.OK);
    }

    private static String drainPath(String upstream) {
        return "fleet/upstreams/" + upstream + "/drain";
    }

    private static ObjectNode object(byte[] json) {
        try {
            JsonNode node = MAPPER.readTree(json);
            return node.isObject() ? (ObjectNode) node : JsonNodeFactory.instance.objectNode();
        } catch (IOException e) {
            return JsonNodeFactory.instance.objectNode();
        }
    }
}
