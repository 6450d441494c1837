package org.magnoliapick.admin.internal;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.dropwizard.auth.Auth;
import jakarta.ws.rs.DefaultValue;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.QueryParam;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.magnoliapick.admin.AdminServices;
import org.magnoliapick.admin.ChangeCommand;
import org.magnoliapick.admin.ChangeResult;
import org.magnoliapick.config.ConfigState;
import org.magnoliapick.config.HistoryEntry;
import org.magnoliapick.config.RejectedEntry;
import org.magnoliapick.config.Role;

/** What became of changes, and who made them. */
@Path("/admin/v1")
@Produces(MediaType.APPLICATION_JSON)
public final class ChangesResource {
    private final AdminServices mServices;

    /** Creates the resource. */
    public ChangesResource(AdminServices services) {
        mServices = services;
    }

    /** Says what became of the change with a token. */
    @GET
    @Path("changes/{token}")
    public Response change(
            @Auth Operator operator,
            @PathParam("token") String token,
            @QueryParam("waitMillis") @DefaultValue("0") long waitMillis) {
        final long maxWaitMillis = 30_000;
        long boundedMillis = Math.max(0, Math.min(waitMillis, maxWaitMillis));
        ChangeResult result =
                new ChangeCommand(mServices.log(), mServices.follower())
                        .setToken(token)
                        .setTimeout(Duration.ofMillis(boundedMillis))
                        .ask();
        if (result instanceof ChangeResult.Accepted accepted) {
            ObjectNode body = JsonNodeFactory.instance.objectNode();
            body.put("accepted", true).put("offset", accepted.offset()).put("token", token);
            return Response.ok(body).build();
        }
        return Change.refused(result, false);
    }

    /** Returns the accepted changes at and below a path, latest first. */
    @GET
    @Path("history")
    public ArrayNode history(
            @Auth Operator operator,
            @QueryParam("path") @DefaultValue("") String path,
            @QueryParam("limit") @DefaultValue("100") int limit) {
        operator.require(Role.READ, path);
        List<HistoryEntry> entries =
                new ArrayList<>(mServices.follower().read(ConfigState::history));
        Collections.reverse(entries);
        ArrayNode body = JsonNodeFactory.instance.arrayNode();
        entries.stream()
                .filter(entry -> entry.concerns(path))
                .limit(Math.max(0, limit))
                .forEach(entry -> body.add(json(entry, operator)));
        return body;
    }

    /** Returns the rejected entries of the log, latest first. */
    @GET
    @Path("rejections")
    public ArrayNode rejections(@Auth Operator operator) {
        operator.require(Role.READ, "");
        List<RejectedEntry> entries =
                new ArrayList<>(mServices.follower().read(ConfigState::rejected));
        Collections.reverse(entries);
        ArrayNode body = JsonNodeFactory.instance.arrayNode();
        for (RejectedEntry entry : entries) {
            body.addObject()
                    .put("offset", entry.offset())
                    .put("appendedAtMillis", entry.appendedAtMillis())
                    .put("id", entry.id())
                    .put("author", entry.author())
                    .put("path", entry.fault().path())
                    .put("reason", entry.fault().reason());
        }
        return body;
    }

    private static ObjectNode json(HistoryEntry entry, Operator operator) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("offset", entry.offset());
        node.put("appendedAtMillis", entry.appendedAtMillis());
        node.put("id", entry.id());
        node.put("author", entry.author());
        node.put("reason", entry.reason());
        ObjectNode set = node.putObject("set");
        ArrayNode unset = node.putArray("unset");
        // A change may reach over several teams; an operator of one sees only that one.
        entry.set()
                .forEach(
                        (path, value) -> {
                            if (operator.allows(Role.READ, path)) {
                                set.set(path, value);
                            }
                        });
        entry.unset().stream().filter(path -> operator.allows(Role.READ, path)).forEach(unset::add);
        return node;
    }
}
