package org.magnoliapick.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.magnoliapick.gateway.GatewaySettings;
import org.magnoliapick.gateway.internal.log.EventLog;
import org.magnoliapick.gateway.internal.log.JsonLineWriter;

final class SettingsWatcherTest {
    @TempDir private Path mDirectory;

    private void write(Path file, String text, long modifiedMillis) throws Exception {
        Files.writeString(file, text);
        Files.setLastModifiedTime(file, FileTime.fromMillis(modifiedMillis));
    }

    @Test
    void appliesChangedSettingsAndKeepsTheOldOnesIfTheNewAreInvalid() throws Exception {
        Path file = mDirectory.resolve("s.yaml");
        write(file, SettingsReaderTest.VALID, 1_000);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        JsonLineWriter writer = new JsonLineWriter(new PrintStream(bytes, true));
        List<GatewaySettings> applied = new ArrayList<>();
        SettingsWatcher watcher =
                new SettingsWatcher(
                        file,
                        SettingsReader.read(file),
                        new EventLog(writer, () -> 0),
                        applied::add);
        watcher.reloadIfModified();
        assertThat(applied).isEmpty();
        write(file, SettingsReaderTest.VALID.replace("slack: 54", "slack: 60"), 2_000);
        watcher.reloadIfModified();
        assertThat(applied).hasSize(1);
        write(file, "nonsense", 3_000);
        watcher.reloadIfModified();
        assertThat(applied).hasSize(1);
        writer.start();
        writer.stop(10_000);
        assertThat(bytes.toString(StandardCharsets.UTF_8))
                .contains("\"changed\":\"retries\"")
                .contains("settings.rejected");
    }
}
