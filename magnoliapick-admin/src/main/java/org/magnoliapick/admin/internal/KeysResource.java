package org.magnoliapick.admin.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.TextNode;
import io.dropwizard.auth.Auth;
import jakarta.ws.rs.BeanParam;
import jakarta.ws.rs.DELETE;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import org.magnoliapick.admin.AdminServices;
import org.magnoliapick.config.KeyHash;
import org.magnoliapick.config.Role;
import org.magnoliapick.errors.ErrorKind;

/** Keys of workspaces and operators. Only hashes are stored; a key is shown once. */
@Path("/admin/v1")
@Produces(MediaType.APPLICATION_JSON)
public final class KeysResource {
    private final AdminServices mServices;
    private final KeyMaker mKeys = new KeyMaker();

    /** Creates the resource. */
    public KeysResource(AdminServices services) {
        mServices = services;
    }

    /** Issues a key that names a workspace; the body may give the key's name as id. */
    @POST
    @Path("teams/{team}/workspaces/{workspace}/keys")
    public Response issue(
            @Auth Operator operator,
            @PathParam("team") String team,
            @PathParam("workspace") String workspace,
            @BeanParam ChangeParams params,
            byte[] body) {
        String subtree = WorkspacesResource.path(team, workspace);
        operator.require(Role.ADMINISTER, subtree);
        if (mServices.follower().read(state -> state.version(subtree)) < 0) {
            throw new AdminException(
                    ErrorKind.NOT_FOUND, subtree + " does not exist; create the workspace first");
        }
        String id = body.length == 0 ? mKeys.id() : id(SettingsBody.read(body));
        String path = subtree + "/keys/" + id + "/sha256";
        String key = mKeys.key();
        return new Change(mServices, operator, params)
                .set(path, TextNode.valueOf(KeyHash.of(key)))
                .expect(path, -1)
                .answer("id", id)
                .answer("key", key)
                .run(Response.Status.CREATED);
    }

    /** Revokes a key. */
    @DELETE
    @Path("teams/{team}/workspaces/{workspace}/keys/{key}")
    public Response revoke(
            @Auth Operator operator,
            @PathParam("team") String team,
            @PathParam("workspace") String workspace,
            @PathParam("key") String id,
            @BeanParam ChangeParams params) {
        String path = WorkspacesResource.path(team, workspace) + "/keys/" + id;
        return new Change(mServices, operator, params).unset(path).run(Response.Status.OK);
    }

    /** Enters an operator or gives one a new key; the body gives name, role and perhaps team. */
    @POST
    @Path("operators")
    public Response operator(@Auth Operator operator, @BeanParam ChangeParams params, byte[] body) {
        JsonNode node = SettingsBody.read(body);
        String name = SettingsBody.text(node, "name");
        String top = node.has("team") ? "teams/" + SettingsBody.text(node, "team") : "fleet";
        String path = top + "/operators/" + name;
        String key = mKeys.key();
        return new Change(mServices, operator, params)
                .set(path + "/sha256", TextNode.valueOf(KeyHash.of(key)))
                .set(
                        path + "/role",
                        JsonNodeFactory.instance.textNode(SettingsBody.text(node, "role")))
                .answer("id", name)
                .answer("key", key)
                .run(Response.Status.CREATED);
    }

    private String id(JsonNode body) {
        return body.has("id") ? SettingsBody.text(body, "id") : mKeys.id();
    }
}
