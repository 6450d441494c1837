package org.magnoliapick.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/** Creates the faults of invalid paths and values, with their messages. */
final class EntryFaults {
    private static final int MAX_SHOWN_CHARS = 80;

    private EntryFaults() {}

    static EntryFault invalidValue(String path, JsonNode value) {
        Optional<SettingPath> settingPath = SettingPath.of(path);
        String shownPath = abbreviated(path);
        if (settingPath.isEmpty()) {
            String known = String.join(", ", SettingPath.suggestPatterns(path));
            String reason = shownPath + " is no known path; known ones: " + known;
            return EntryFault.invalid(shownPath, reason);
        }
        String allowed = settingPath.get().rule().allowedValues();
        String reason =
                shownPath + " must be " + allowed + ", not " + abbreviated(value.toString());
        return EntryFault.invalid(shownPath, reason);
    }

    static EntryFault notSet(String path) {
        String shownPath = abbreviated(path);
        return EntryFault.invalid(shownPath, shownPath + " is not set, so it cannot be removed");
    }

    private static String abbreviated(String text) {
        return text.length() <= MAX_SHOWN_CHARS ? text : text.substring(0, MAX_SHOWN_CHARS) + "...";
    }
}
