package org.magnoliapick.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** The reference of settings says what the table in the code says. */
final class SettingsReferenceTest {
    @Test
    void referenceListsEverySettingOfTheTable() throws IOException {
        StringBuilder expected = new StringBuilder("| path | allowed | role to change it |\n");
        expected.append("|---|---|---|\n");
        for (SettingPath row : SettingPath.values()) {
            expected.append(
                    String.format(
                            "| `%s` | %s | %s |%n",
                            row.pattern(), row.rule().allowedValues(), row.requiredRole().wireName()));
        }
        String page = Files.readString(Path.of("../docs/api/settings.md"));
        assertThat(page).endsWith(expected.toString());
    }
}
