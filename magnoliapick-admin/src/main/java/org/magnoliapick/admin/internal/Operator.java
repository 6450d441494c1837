package org.magnoliapick.admin.internal;

import java.security.Principal;
import org.magnoliapick.config.OperatorConfig;
import org.magnoliapick.config.Role;
import org.magnoliapick.errors.ErrorKind;

/** The operator who makes a call. */
public final class Operator implements Principal {
    private final OperatorConfig mConfig;

    Operator(OperatorConfig config) {
        mConfig = config;
    }

    @Override
    public String getName() {
        return mConfig.team().map(team -> team + "/" + mConfig.name()).orElse(mConfig.name());
    }

    boolean allows(Role role, String path) {
        return mConfig.allows(role, path);
    }

    /** Ends the call if the operator may not do something at a path. */
    void require(Role role, String path) {
        if (allows(role, path)) {
            return;
        }
        String subtree = mConfig.team().map(team -> "teams/" + team).orElse("the whole tree");
        String shownPath = path.isEmpty() ? "the whole tree" : path;
        throw new AdminException(
                ErrorKind.FORBIDDEN,
                String.format(
                        "%s needs role %s; %s has role %s in %s",
                        shownPath, role.wireName(), getName(), mConfig.role().wireName(), subtree));
    }
}
