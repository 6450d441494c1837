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
    @TempDir private Path mFolder;

    private void write(Path file, String text, long modifiedMillis) throws Exception {
        Files.writeString(file, text);
        Files.setLastModifiedTime(file, FileTime.fromMillis(modifiedMillis));
    }

    @Test
    void takesOverAChangeAndKeepsTheOldOnesWhereTheNewMakeNoSense() throws Exception {
        Path file = mFolder.resolve("s.yaml");
        write(file, SettingsReaderTest.GOOD, 1_000);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        JsonLineWriter lines = new JsonLineWriter(new PrintStream(bytes, true));
        List<GatewaySettings> taken = new ArrayList<>();
        SettingsWatcher watch =
                new SettingsWatcher(
                        file, SettingsReader.read(file), new EventLog(lines, () -> 0), taken::add);
        watch.look();
        assertThat(taken).isEmpty();
        write(file, SettingsReaderTest.GOOD.replace("slack: 54", "slack: 60"), 2_000);
        watch.look();
        assertThat(taken).hasSize(1);
        write(file, "nonsense", 3_000);
        watch.look();
        assertThat(taken).hasSize(1);
        lines.start();
        lines.stop(10_000);
        assertThat(bytes.toString(StandardCharsets.UTF_8))
                .contains("\"changed\":\"retries\"")
                .contains("settings.rejected");
    }
}
