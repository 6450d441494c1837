package org.magnoliapick.router;

import io.dropwizard.configuration.ConfigurationException;
import java.util.Locale;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Describes faults of a settings file in one line. */
final class SettingsFault {
    /** The prefix of a field's name, which no operator writes. */
    private static final Pattern FIELD = Pattern.compile("\\bm([A-Z])(?=[a-zA-Z]*[. ])");

    /** Where the reader of the file stood, which says nothing to an operator. */
    private static final Pattern SOURCE = Pattern.compile(" at \\[Source: .*");

    private SettingsFault() {}

    /** Names the file, the path and what is allowed, for each fault found. */
    static String describe(String file, ConfigurationException fault) {
        String faults =
                fault.getErrors().stream()
                        .map(SettingsFault::oneLine)
                        .sorted()
                        .collect(Collectors.joining("; "));
        return file + ": " + faults;
    }

    private static String oneLine(String text) {
        String line = text.replaceAll("\\s+", " ").trim();
        String withoutSource = SOURCE.matcher(line).replaceAll("");
        return FIELD.matcher(withoutSource)
                .replaceAll(match -> match.group(1).toLowerCase(Locale.ROOT));
    }
}
