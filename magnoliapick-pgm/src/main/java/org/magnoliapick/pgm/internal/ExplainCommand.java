package org.magnoliapick.pgm.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/** Explains a request, a workspace or a difference. */
final class ExplainCommand implements Command {
    private static final String WHOLE_HOUR = "1h";

    @Override
    public ExitCode run(Invocation invocation) {
        JsonNode body = invocation.read(call(invocation)).body();
        if (!invocation.printForPrograms(body)) {
            body.path("sentences").forEach(each -> invocation.print(each.asText()));
            invocation.printUnanswered(body);
        }
        return ExitCode.OK;
    }

    private static RouterClient.Call call(Invocation invocation) {
        long sinceMillis = Numbers.durationMillis(invocation.option("since").orElse(WHOLE_HOUR));
        if (invocation.option("request").isPresent()) {
            return RouterClient.Call.get("explain/requests/" + invocation.option("request").get());
        }
        if (invocation.option("workspace").isPresent()) {
            String workspace = invocation.option("workspace").get();
            return RouterClient.Call.get("explain/workspaces/" + workspace)
                    .with("sinceMillis", Long.toString(sinceMillis));
        }
        Optional<String> left = invocation.option("compare");
        if (left.isPresent()) {
            return RouterClient.Call.get("explain/comparison")
                    .with("left", left.get())
                    .with("right", invocation.argument(0, "the second workspace of --compare"))
                    .with("sinceMillis", Long.toString(sinceMillis));
        }
        throw PgmException.usage(
                "missingArgument", "explain", "--request, --workspace or --compare");
    }
}
