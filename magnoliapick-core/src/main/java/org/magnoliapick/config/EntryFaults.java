package org.magnoliapick.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/** The sentences about faulty paths and values. */
final class EntryFaults {
    private static final int MAX_SHOWN_CHARS = 80;

    private EntryFaults() {}

    static EntryFault ofValue(String path, JsonNode value) {
        Optional<SettingPath> row = SettingPath.of(path);
        String shownPath = shortened(path);
        if (row.isEmpty()) {
            String known = String.join(", ", SettingPath.suggestPatterns(path));
            String reason = shownPath + " is no known path; known ones: " + known;
            return EntryFault.invalid(shownPath, reason);
        }
        String allowed = row.get().rule().allowedValues();
        String reason = shownPath + " must be " + allowed + ", not " + shortened(value.toString());
        return EntryFault.invalid(shownPath, reason);
    }

    static EntryFault ofUnset(String path) {
        String shownPath = shortened(path);
        return EntryFault.invalid(shownPath, shownPath + " is not set, so it cannot be removed");
    }

    private static String shortened(String text) {
        return text.length() <= MAX_SHOWN_CHARS ? text : text.substring(0, MAX_SHOWN_CHARS) + "...";
    }
}
