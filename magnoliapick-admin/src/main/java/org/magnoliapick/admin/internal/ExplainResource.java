package org.magnoliapick.admin.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
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
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliapick.admin.AdminQueries;
import org.magnoliapick.admin.AdminServices;
import org.magnoliapick.admin.FleetAnswer;
import org.magnoliapick.config.Role;
import org.magnoliapick.config.WorkspaceConfig;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.record.SummaryHistory;
import org.magnoliapick.record.WorkspaceComparison;
import org.magnoliapick.record.WorkspaceExplanation;
import org.magnoliapick.record.WorkspaceSummary;

/** Why a request was late, and why one workspace got less than another. */
@Path("/admin/v1/explain")
@Produces(MediaType.APPLICATION_JSON)
public final class ExplainResource {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String KEPT = "3600000";

    private final AdminServices mServices;

    /** Creates the resource. */
    public ExplainResource(AdminServices services) {
        mServices = services;
    }

    /** Tells the story of one request. */
    @GET
    @Path("requests/{request}")
    public ObjectNode request(@Auth Operator operator, @PathParam("request") String request) {
        operator.require(Role.READ, "");
        List<String> unanswered = new ArrayList<>();
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        for (FleetAnswer answer : FleetCalls.ask(mServices, AdminQueries.STORY, request)) {
            if (answer.content().isEmpty()) {
                unanswered.add(answer.instance().value());
            } else {
                story(answer.content().get()).ifPresent(body::setAll);
            }
        }
        if (!body.has("sentences")) {
            throw new AdminException(
                    ErrorKind.NOT_FOUND,
                    "No instance that answered keeps a decision about " + request,
                    Map.of("unanswered", unanswered));
        }
        unanswered.forEach(body.putArray("unanswered")::add);
        return body;
    }

    /** Splits the waiting of a workspace by cause and names who was ahead. */
    @GET
    @Path("workspaces/{workspace}")
    public ObjectNode workspace(
            @Auth Operator operator,
            @PathParam("workspace") String workspace,
            @QueryParam("sinceMillis") @DefaultValue(KEPT) long sinceMillis) {
        WorkspaceId id = require(operator, workspace);
        long fromMillis = fromMillis(sinceMillis);
        FleetCalls.Gathered gathered = FleetCalls.summaries(mServices, fromMillis);
        WorkspaceSummary summary =
                gathered.windows().stream()
                        .map(window -> window.summary(id))
                        .reduce(WorkspaceSummary.NONE, WorkspaceSummary::plus);
        return answer(WorkspaceExplanation.of(id, summary, fromMillis), gathered);
    }

    /** Compares the service of two workspaces. */
    @GET
    @Path("comparison")
    public ObjectNode comparison(
            @Auth Operator operator,
            @QueryParam("left") @DefaultValue("") String left,
            @QueryParam("right") @DefaultValue("") String right,
            @QueryParam("sinceMillis") @DefaultValue(KEPT) long sinceMillis) {
        WorkspaceId one = require(operator, left);
        WorkspaceId other = require(operator, right);
        FleetCalls.Gathered gathered = FleetCalls.summaries(mServices, fromMillis(sinceMillis));
        WorkspaceComparison comparison =
                WorkspaceComparison.of(
                        one, other, gathered.windows(), mServices.follower().config());
        return answer(comparison, gathered);
    }

    private WorkspaceId require(Operator operator, String workspace) {
        if (workspace.isBlank()) {
            throw new AdminException(ErrorKind.BAD_REQUEST, "Name a workspace");
        }
        WorkspaceId id = new WorkspaceId(workspace);
        Optional<String> team =
                mServices.follower().config().workspace(id).map(WorkspaceConfig::team);
        operator.require(
                Role.READ, team.map(it -> WorkspacesResource.path(it, workspace)).orElse(""));
        if (team.isEmpty()) {
            throw new AdminException(ErrorKind.NOT_FOUND, "There is no workspace " + workspace);
        }
        return id;
    }

    private long fromMillis(long sinceMillis) {
        if (sinceMillis <= 0 || sinceMillis > SummaryHistory.RETENTION_MILLIS) {
            throw new AdminException(
                    ErrorKind.BAD_REQUEST,
                    "sinceMillis must be from 1 to " + SummaryHistory.RETENTION_MILLIS);
        }
        return mServices.clock().millis() - sinceMillis;
    }

    private static ObjectNode answer(Object content, FleetCalls.Gathered gathered) {
        ObjectNode body = MAPPER.valueToTree(content);
        gathered.unanswered().forEach(body.putArray("unanswered")::add);
        return body;
    }

    private static Optional<ObjectNode> story(byte[] json) {
        try {
            JsonNode node = MAPPER.readTree(json);
            return node.isObject() ? Optional.of((ObjectNode) node) : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
