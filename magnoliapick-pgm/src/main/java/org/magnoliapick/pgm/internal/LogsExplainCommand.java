package org.magnoliapick.pgm.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Tells the story of a request from the gateways' log files, for when the instances are gone. A
 * line may have anything before its JSON object, such as the name of its instance.
 */
final class LogsExplainCommand implements Command {
    /** The most files that one command reads. */
    static final int MAX_FILES = 1_000;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Fields that are told apart, or with every line of the request. */
    private static final Set<String> TOLD_ONCE =
            Set.of("atMillis", "kind", "request", "route", "workspace", "configVersion");

    @Override
    public ExitCode run(Invocation invocation) {
        String request = invocation.argument(0, "the identifier of a request");
        invocation.argument(1, "a log file");
        List<LogLine> lines = new ArrayList<>();
        for (String file : invocation.arguments().subList(1, invocation.arguments().size())) {
            lines.addAll(read(file, request));
        }
        lines.sort(Comparator.comparingLong(LogLine::atMillis));
        if (lines.isEmpty()) {
            invocation.print(PgmText.get("logsNothing", request));
            return ExitCode.OK;
        }
        tell(invocation, lines);
        return ExitCode.OK;
    }

    private static List<LogLine> read(String file, String request) {
        List<LogLine> lines = new ArrayList<>();
        try (BufferedReader reader =
                Files.newBufferedReader(Path.of(file), StandardCharsets.ISO_8859_1)) {
            String line = reader.readLine();
            while (line != null) {
                if (line.contains(request)) {
                    parse(line).filter(each -> each.isOf(request)).ifPresent(lines::add);
                }
                line = reader.readLine();
            }
        } catch (IOException e) {
            throw PgmException.usage("logsUnreadable", file, e.getMessage());
        }
        return lines;
    }

    private static Optional<LogLine> parse(String line) {
        int start = line.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(new LogLine(MAPPER.readTree(line.substring(start))));
        } catch (JsonProcessingException e) {
            // Another program's line that happens to hold the identifier.
            return Optional.empty();
        }
    }

    private static void tell(Invocation invocation, List<LogLine> lines) {
        JsonNode first = lines.get(0).fields();
        invocation.print(
                PgmText.get(
                        "logsHead",
                        first.path("request").asText(),
                        first.path("workspace").asText("-"),
                        first.path("route").asText("-"),
                        first.path("configVersion").asText("-")));
        for (LogLine line : lines) {
            long offsetMillis = line.atMillis() - lines.get(0).atMillis();
            invocation.print("+" + offsetMillis + " ms  " + line.kind() + details(line.fields()));
        }
        JsonNode last = lines.get(lines.size() - 1).fields();
        if (last.has("firstMillis")) {
            long waited = last.path("waitedMillis").asLong();
            long firstMillis = last.path("firstMillis").asLong();
            long tookMillis = last.path("tookMillis").asLong();
            invocation.print(
                    PgmText.get(
                            "logsTimes",
                            tookMillis,
                            waited,
                            firstMillis - waited,
                            tookMillis - firstMillis));
        }
    }

    private static String details(JsonNode fields) {
        StringBuilder text = new StringBuilder();
        Iterator<Map.Entry<String, JsonNode>> each = fields.properties().iterator();
        while (each.hasNext()) {
            Map.Entry<String, JsonNode> field = each.next();
            if (!TOLD_ONCE.contains(field.getKey())) {
                text.append("  ").append(field.getKey()).append('=');
                text.append(field.getValue().asText());
            }
        }
        return text.toString();
    }

    private record LogLine(JsonNode fields) {
        private long atMillis() {
            return fields.path("atMillis").asLong();
        }

        private String kind() {
            return fields.path("kind").asText();
        }

        private boolean isOf(String request) {
            return fields.path("request").asText().equals(request);
        }
    }
}
