package org.magnoliapick.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards the exit codes of the command, by which scripts decide whether a version is sent. */
final class ConfigCheckMainTest {
    private static final String GOOD =
            "version 2;service s;keys;key k w;route a STREAM s 2000;route b STREAM s 2000";

    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();

    @TempDir private Path mFolder;

    private String file(String name, String text) throws IOException {
        return Files.writeString(mFolder.resolve(name), text).toString();
    }

    private int run(String... args) {
        return new ConfigCheckMain(
                        new ConfigDialect(),
                        new PrintStream(mOut, true, StandardCharsets.UTF_8),
                        new PrintStream(mErr, true, StandardCharsets.UTF_8))
                .run(args);
    }

    private String out() {
        return mOut.toString(StandardCharsets.UTF_8);
    }

    @Test
    void acceptsGoodVersionAndTellsWhatChanges() throws Exception {
        String before = file("before", GOOD.replace("version 2", "version 1") + ";key l x");
        assertThat(run("--in-force", before, file("good", GOOD))).isEqualTo(0);
        assertThat(out()).isEqualTo("changes workspace x: removed\n");
    }

    @Test
    void reportsFindings() throws Exception {
        assertThat(run("--json", file("bad", GOOD + ";service unused"))).isEqualTo(1);
        assertThat(out())
                .contains("\"kind\":\"never matches\"")
                .contains("\"subject\":\"service unused\"");
    }

    @Test
    void reportsVersionThatIsNotNewer() throws Exception {
        String file = file("same", GOOD);
        assertThat(run("--in-force", file, file)).isEqualTo(1);
        assertThat(out()).contains("instances ignore it");
    }

    @Test
    void refusesWhatInstancesCannotRead() throws Exception {
        assertThat(run(file("odd", "version x"))).isEqualTo(2);
        assertThat(run("missing")).isEqualTo(2);
        assertThat(run()).isEqualTo(2);
        assertThat(mErr.toString(StandardCharsets.UTF_8)).contains("odd: ").contains("see --help");
    }
}
