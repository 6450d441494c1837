package org.magnoliapick.pgm.internal;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;

/** Issues a key of a workspace. */
final class KeyIssueCommand implements Command {
    @Override
    public ExitCode run(Invocation invocation) {
        String team = invocation.argument(0, "TEAM");
        String workspace = invocation.argument(1, "WORKSPACE");
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        invocation.option("id").ifPresent(it -> body.put("id", it));
        String path = "teams/" + team + "/workspaces/" + workspace + "/keys";
        NewKey.print(invocation, invocation.change("POST", path, Optional.of(body), Map.of()));
        return ExitCode.OK;
    }
}
