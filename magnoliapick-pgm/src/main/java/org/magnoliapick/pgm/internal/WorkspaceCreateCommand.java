package org.magnoliapick.pgm.internal;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Creates a workspace. */
final class WorkspaceCreateCommand implements Command {
    @Override
    public ExitCode run(Invocation invocation) {
        String team = invocation.argument(0, "TEAM");
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("name", invocation.argument(1, "NAME"));
        for (String option : List.of("weight", "max-queued")) {
            invocation.option(option).ifPresent(it -> body.set(option, SettingsTree.value(it)));
        }
        String path = "teams/" + team + "/workspaces";
        invocation.printChange(invocation.change("POST", path, Optional.of(body), Map.of()));
        return ExitCode.OK;
    }
}
