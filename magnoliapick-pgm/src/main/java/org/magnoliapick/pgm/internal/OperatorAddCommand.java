package org.magnoliapick.pgm.internal;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;

/** Enters an operator. */
final class OperatorAddCommand implements Command {
    @Override
    public ExitCode run(Invocation invocation) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("name", invocation.argument(0, "NAME"));
        body.put("role", invocation.option("role").orElse("read"));
        invocation.option("team").ifPresent(it -> body.put("team", it));
        NewKey.print(
                invocation, invocation.change("POST", "operators", Optional.of(body), Map.of()));
        return ExitCode.OK;
    }
}
