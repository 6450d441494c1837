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
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * One line of a gateway's log. There may be anything before its JSON object, such as the name of
 * its instance.
 *
 * @param file the file that it stands in
 * @param instanceMark the last word before the object, which names the instance; may be empty
 */
record LogLine(String file, String instanceMark, JsonNode fields) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Fields that are told apart, or with every line of the request. */
    private static final Set<String> TOLD_ONCE =
            Set.of("atMillis", "kind", "request", "route", "workspace", "configVersion");

    /**
     * Returns the lines of files that meet a condition, in the order of their times.
     *
     * @param mayBe tells by a line's text whether it is worth parsing
     */
    static List<LogLine> read(
            List<String> files, Predicate<String> mayBe, Predicate<LogLine> wanted) {
        List<LogLine> lines = new ArrayList<>();
        for (String file : files) {
            try (BufferedReader reader =
                    Files.newBufferedReader(Path.of(file), StandardCharsets.ISO_8859_1)) {
                reader.lines()
                        .filter(mayBe)
                        .flatMap(line -> parse(file, line).stream())
                        .filter(wanted)
                        .forEach(lines::add);
            } catch (IOException e) {
                throw PgmException.usage("logsUnreadable", file, e.getMessage());
            }
        }
        lines.sort(Comparator.comparingLong(LogLine::atMillis));
        return lines;
    }

    private static Optional<LogLine> parse(String file, String line) {
        int start = line.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            String before = line.substring(0, start).strip();
            String word = before.substring(before.lastIndexOf(' ') + 1);
            return Optional.of(new LogLine(file, word, MAPPER.readTree(line.substring(start))));
        } catch (JsonProcessingException e) {
            // Another program's line that happens to hold the text.
            return Optional.empty();
        }
    }

    /** Returns what all lines of one instance have in common. */
    String source() {
        return file + " " + instanceMark;
    }

    long atMillis() {
        return fields.path("atMillis").asLong();
    }

    String kind() {
        return text("kind");
    }

    /** Returns a field's text, empty if the line does not have it. */
    String text(String field) {
        return fields.path(field).asText();
    }

    /** Returns the line as it is told: its distance from a time, its kind and its own fields. */
    String told(long sinceMillis) {
        StringBuilder text = new StringBuilder();
        text.append(String.format(Locale.ROOT, "%+d ms  %s", atMillis() - sinceMillis, kind()));
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
}
