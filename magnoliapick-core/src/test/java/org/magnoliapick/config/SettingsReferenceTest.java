package org.magnoliapick.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** Checks that the settings reference in the documentation matches {@link SettingPath}. */
final class SettingsReferenceTest {
    @Test
    void referenceListsEverySetting() throws IOException {
        StringBuilder expected = new StringBuilder("| path | allowed | role to change it |\n");
        expected.append("|---|---|---|\n");
        for (SettingPath settingPath : SettingPath.values()) {
            expected.append(
                    String.format(
                            "| `%s` | %s | %s |%n",
                            settingPath.pattern(),
                            settingPath.rule().allowedValues(),
                            settingPath.requiredRole().wireName()));
        }
        String page = Files.readString(Path.of("../docs/api/settings.md"));
        assertThat(page).endsWith(expected.toString());
    }
}
