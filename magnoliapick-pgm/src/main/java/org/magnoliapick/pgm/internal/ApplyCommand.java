package org.magnoliapick.pgm.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Compares a YAML tree with the settings and, if asked, makes them so in one step. */
final class ApplyCommand implements Command {
    private final boolean mIsApplying;

    ApplyCommand(boolean isApplying) {
        mIsApplying = isApplying;
    }

    @Override
    public ExitCode run(Invocation invocation) {
        String file =
                invocation
                        .option("file")
                        .or(() -> invocation.optionalArgument(0))
                        .orElseThrow(() -> PgmException.usage("missingArgument", "apply", "-f"));
        Map<String, JsonNode> wanted = SettingsTree.read(file);
        String path = SettingsTree.commonPath(wanted.keySet());
        String apiPath = path.isEmpty() ? "settings" : "settings/" + path;
        Optional<RouterClient.Answer> present =
                invocation.readIfPresent(RouterClient.Call.get(apiPath));
        JsonNode settings =
                present.map(it -> it.body().path("settings"))
                        .orElse(JsonNodeFactory.instance.objectNode());
        Map<String, JsonNode> differing = differing(wanted, settings);
        printPlan(invocation, differing, settings);
        if (!mIsApplying || differing.isEmpty()) {
            return ExitCode.OK;
        }
        // The change holds only against the version that the plan was made from.
        Map<String, String> headers =
                present.map(it -> Map.of("If-Match", it.tag()))
                        .orElse(Map.of("If-None-Match", "*"));
        invocation.printChange(
                invocation.change("PATCH", apiPath, Optional.of(body(path, differing)), headers));
        return ExitCode.OK;
    }

    private static Map<String, JsonNode> differing(
            Map<String, JsonNode> wanted, JsonNode settings) {
        Map<String, JsonNode> differing = new TreeMap<>();
        wanted.forEach(
                (path, value) -> {
                    JsonNode present = settings.path(path).path("value");
                    boolean isAbsent = present.isMissingNode();
                    if (value.isNull() ? !isAbsent : !isSame(present, value)) {
                        differing.put(path, value);
                    }
                });
        return differing;
    }

    private static boolean isSame(JsonNode one, JsonNode other) {
        if (one.isNumber() && other.isNumber()) {
            return Double.compare(one.doubleValue(), other.doubleValue()) == 0;
        }
        return one.equals(other);
    }

    private static void printPlan(
            Invocation invocation, Map<String, JsonNode> differing, JsonNode settings) {
        if (invocation.settings().output() != OutputFormat.TABLE) {
            return;
        }
        if (differing.isEmpty()) {
            invocation.print(PgmText.get("noDifference"));
            return;
        }
        invocation.print(PgmText.get("plan"));
        differing.forEach(
                (path, value) -> {
                    JsonNode present = settings.path(path).path("value");
                    invocation.print(line(path, value, present));
                });
    }

    private static String line(String path, JsonNode value, JsonNode present) {
        if (value.isNull()) {
            return PgmText.get("planRemove", path, present);
        }
        return present.isMissingNode()
                ? PgmText.get("planAdd", path, value)
                : PgmText.get("planChange", path, value, present);
    }

    private static JsonNode body(String path, Map<String, JsonNode> values) {
        if (values.containsKey(path)) {
            return values.get(path);
        }
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        int skippedChars = path.isEmpty() ? 0 : path.length() + 1;
        values.forEach((each, value) -> body.set(each.substring(skippedChars), value));
        return body;
    }
}
