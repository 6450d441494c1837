package org.magnoliapick.admin.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.dropwizard.auth.Auth;
import jakarta.ws.rs.BeanParam;
import jakarta.ws.rs.DELETE;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.HeaderParam;
import jakarta.ws.rs.PATCH;
import jakarta.ws.rs.PUT;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.EntityTag;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.magnoliapick.admin.AdminServices;
import org.magnoliapick.config.ConfigState;
import org.magnoliapick.config.Role;
import org.magnoliapick.config.Setting;
import org.magnoliapick.config.SettingPath;
import org.magnoliapick.errors.ErrorKind;

/** Settings under their paths. */
@Path("/admin/v1/settings")
@Produces(MediaType.APPLICATION_JSON)
public final class SettingsResource {
    private static final String ANY = "*";

    private final AdminServices mServices;

    /** Creates the resource. */
    public SettingsResource(AdminServices services) {
        mServices = services;
    }

    /** Returns the whole tree. */
    @GET
    public Response getAll(@Auth Operator operator) {
        return get(operator, "");
    }

    /** Returns the settings at and below a path. */
    @GET
    @Path("{path: .+}")
    public Response get(@Auth Operator operator, @PathParam("path") String path) {
        operator.require(Role.READ, path);
        return mServices.follower().read(state -> found(state, path));
    }

    /** Sets a value, or makes a subtree exactly what the body says. */
    @PUT
    @Path("{path: .+}")
    public Response put(
            @Auth Operator operator,
            @PathParam("path") String path,
            @HeaderParam(HttpHeaders.IF_MATCH) String ifMatch,
            @HeaderParam(HttpHeaders.IF_NONE_MATCH) String ifNoneMatch,
            @BeanParam ChangeParams params,
            byte[] body) {
        Map<String, Optional<JsonNode>> values =
                SettingsBody.flatten(path, SettingsBody.read(body));
        Change change = change(operator, path, ifMatch, ifNoneMatch, params);
        addAll(change, values);
        if (SettingPath.of(path).isEmpty()) {
            TreeSet<String> gone =
                    new TreeSet<>(mServices.follower().read(it -> it.subtree(path)).keySet());
            gone.removeAll(values.keySet());
            gone.forEach(change::unset);
        }
        return change.run(Response.Status.OK);
    }

    /** Sets the values in the body and removes those that are null; the others stay. */
    @PATCH
    @Path("{path: .+}")
    public Response patch(
            @Auth Operator operator,
            @PathParam("path") String path,
            @HeaderParam(HttpHeaders.IF_MATCH) String ifMatch,
            @HeaderParam(HttpHeaders.IF_NONE_MATCH) String ifNoneMatch,
            @BeanParam ChangeParams params,
            byte[] body) {
        Change change = change(operator, path, ifMatch, ifNoneMatch, params);
        addAll(change, SettingsBody.flatten(path, SettingsBody.read(body)));
        return change.run(Response.Status.OK);
    }

    /** Changes paths of the whole tree, given in full, in one step. */
    @PATCH
    public Response patchAll(
            @Auth Operator operator,
            @HeaderParam(HttpHeaders.IF_MATCH) String ifMatch,
            @BeanParam ChangeParams params,
            byte[] body) {
        Change change = change(operator, "", ifMatch, null, params);
        addAll(change, SettingsBody.flatten("", SettingsBody.read(body)));
        return change.run(Response.Status.OK);
    }

    /** Removes a path with all below it. */
    @DELETE
    @Path("{path: .+}")
    public Response delete(
            @Auth Operator operator,
            @PathParam("path") String path,
            @HeaderParam(HttpHeaders.IF_MATCH) String ifMatch,
            @BeanParam ChangeParams params) {
        return change(operator, path, ifMatch, null, params).unset(path).run(Response.Status.OK);
    }

    private Change change(
            Operator operator,
            String path,
            String ifMatch,
            String ifNoneMatch,
            ChangeParams params) {
        operator.require(Role.READ, path);
        Change change = new Change(mServices, operator, params);
        if (ifMatch != null && !ifMatch.equals(ANY)) {
            change.expect(path, version(ifMatch));
        }
        if (ifNoneMatch != null) {
            if (!ifNoneMatch.equals(ANY)) {
                throw new AdminException(ErrorKind.BAD_REQUEST, "If-None-Match must be *");
            }
            change.expect(path, -1);
        }
        return change;
    }

    private static void addAll(Change change, Map<String, Optional<JsonNode>> values) {
        values.forEach(
                (path, value) -> {
                    if (value.isPresent()) {
                        change.set(path, value.get());
                    } else {
                        change.unset(path);
                    }
                });
    }

    private static long version(String ifMatch) {
        try {
            return Long.parseLong(ifMatch.replace("\"", ""));
        } catch (NumberFormatException e) {
            throw new AdminException(
                    ErrorKind.BAD_REQUEST, "If-Match must be an ETag that a GET returned");
        }
    }

    private static Response found(ConfigState state, String path) {
        Map<String, Setting> settings = state.subtree(path);
        if (settings.isEmpty() && !path.isEmpty()) {
            String detail =
                    SettingPath.isPrefix(path)
                            ? path + " is not set"
                            : path
                                    + " is no known path; known ones: "
                                    + String.join(", ", SettingPath.suggestPatterns(path));
            throw new AdminException(ErrorKind.NOT_FOUND, detail, Map.of("path", path));
        }
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("path", path);
        body.put("version", state.version(path));
        body.put("offset", state.offset());
        ObjectNode values = body.putObject("settings");
        settings.forEach(
                (each, setting) -> {
                    ObjectNode node = values.putObject(each);
                    node.set("value", setting.value());
                    node.put("version", setting.version());
                });
        return Response.ok(body)
                .tag(new EntityTag(Long.toString(state.version(path))))
                .header("Magnoliapick-Config-Offset", state.offset())
                .build();
    }
}
