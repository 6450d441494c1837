package org.magnoliapick.admin.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import jakarta.ws.rs.core.Response;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.UUID;
import org.magnoliapick.admin.AdminServices;
import org.magnoliapick.admin.ChangeCommand;
import org.magnoliapick.admin.ChangeResult;
import org.magnoliapick.config.ConfigState;
import org.magnoliapick.config.Role;
import org.magnoliapick.config.Setting;
import org.magnoliapick.config.SettingPath;
import org.magnoliapick.errors.ErrorKind;

/** One change of settings on behalf of an operator: checks the rights, runs it, answers. */
final class Change {
    private final AdminServices mServices;
    private final Operator mOperator;
    private final ChangeParams mParams;
    private final Map<String, JsonNode> mSet = new TreeMap<>();
    private final List<String> mUnset = new ArrayList<>();
    private final Map<String, Long> mExpect = new TreeMap<>();
    private final ObjectNode mExtra = JsonNodeFactory.instance.objectNode();

    Change(AdminServices services, Operator operator, ChangeParams params) {
        mServices = services;
        mOperator = operator;
        mParams = params;
    }

    Change set(String path, JsonNode value) {
        mSet.put(path, value);
        return this;
    }

    Change unset(String path) {
        mUnset.add(path);
        return this;
    }

    Change expect(String path, long version) {
        mExpect.put(path, version);
        return this;
    }

    /** Adds a member to the answer of an accepted change. */
    Change answer(String member, String value) {
        mExtra.put(member, value);
        return this;
    }

    Response run(Response.Status successStatus) {
        mSet.keySet().forEach(path -> mOperator.require(neededRole(path), path));
        mUnset.forEach(this::requireRemoval);
        String token = mParams.token().orElseGet(() -> UUID.randomUUID().toString());
        ChangeCommand command =
                new ChangeCommand(mServices.log(), mServices.follower())
                        .setToken(token)
                        .setAuthor(mOperator.getName())
                        .setReason(mParams.reason())
                        .setDryRun(mParams.isDryRun());
        mSet.forEach(command::set);
        mUnset.forEach(command::unset);
        mExpect.forEach(command::expect);
        return answer(command.call(), token, successStatus);
    }

    private void requireRemoval(String path) {
        Role needed =
                mServices.follower().read(state -> state.subtree(path)).keySet().stream()
                        .map(Change::neededRole)
                        .reduce(Role.CHANGE, (one, other) -> one.includes(other) ? one : other);
        mOperator.require(needed, path);
    }

    private static Role neededRole(String path) {
        return SettingPath.of(path).map(SettingPath::requiredRole).orElse(Role.CHANGE);
    }

    private Response answer(ChangeResult result, String token, Response.Status successStatus) {
        if (result instanceof ChangeResult.Accepted accepted) {
            if (!mParams.isDryRun() && mExtra.has("key") && !isInForce()) {
                // An earlier call with this token stored another key, which was shown then.
                String detail = "The token was used before; issue a key with another token";
                throw new AdminException(ErrorKind.CONFLICT, detail, Map.of("token", token));
            }
            return accepted(accepted.offset(), token, successStatus);
        }
        return refused(result, !mExpect.isEmpty());
    }

    private boolean isInForce() {
        return mServices
                .follower()
                .read(state -> mSet.entrySet().stream().allMatch(each -> isInForce(state, each)));
    }

    private static boolean isInForce(ConfigState state, Map.Entry<String, JsonNode> wanted) {
        Setting setting = state.subtree(wanted.getKey()).get(wanted.getKey());
        return setting != null && setting.value().equals(wanted.getValue());
    }

    private Response accepted(long offset, String token, Response.Status successStatus) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("accepted", !mParams.isDryRun());
        body.put("dryRun", mParams.isDryRun());
        body.put("offset", offset);
        body.put("token", token);
        ObjectNode set = body.putObject("set");
        mSet.forEach(set::set);
        mUnset.forEach(body.putArray("unset")::add);
        if (!mParams.isDryRun()) {
            body.setAll(mExtra);
        }
        return Response.status(mParams.isDryRun() ? Response.Status.OK : successStatus)
                .header("Magnoliapick-Config-Offset", offset)
                .entity(body)
                .build();
    }

    /** Returns the problem details for a change that is not accepted, or not known to be. */
    static Response refused(ChangeResult result, boolean hasPrecondition) {
        if (result instanceof ChangeResult.Rejected rejected) {
            return AdminException.response(
                    ErrorKind.BAD_REQUEST, rejected.reason(), Map.of("path", rejected.path()));
        }
        if (result instanceof ChangeResult.Conflict conflict) {
            ErrorKind kind = hasPrecondition ? ErrorKind.PRECONDITION_FAILED : ErrorKind.CONFLICT;
            return AdminException.response(
                    kind,
                    conflict.reason() + "; read it again and decide anew",
                    Map.of("path", conflict.path(), "currentVersion", conflict.currentVersion()));
        }
        if (result instanceof ChangeResult.LogUnavailable unavailable) {
            return AdminException.response(
                    ErrorKind.LOG_UNAVAILABLE,
                    "Not accepted: the log could not be reached (" + unavailable.reason() + ")",
                    Map.of());
        }
        String token =
                Optional.of(result)
                        .map(ChangeResult.Unknown.class::cast)
                        .map(ChangeResult.Unknown::token)
                        .orElseThrow();
        return AdminException.response(
                ErrorKind.CHANGE_UNKNOWN,
                "Accepted or not is unknown; ask again with this token",
                Map.of("token", token));
    }
}
