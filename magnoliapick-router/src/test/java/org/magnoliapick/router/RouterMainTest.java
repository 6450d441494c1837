package org.magnoliapick.router;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class RouterMainTest {
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();

    @TempDir private Path mFolder;

    @Test
    void goodSettingsPassTheCheck() throws Exception {
        assertThat(check("", "")).contains(0);
        assertThat(mOut.toString(UTF_8)).contains("good");
    }

    @Test
    void anUnknownKeyIsNamed() throws Exception {
        assertThat(check("failureDomain:", "failureDomian:")).contains(RouterMain.EXIT_USAGE);
        assertOneLineWith("instance.failureDomian");
    }

    @Test
    void aMissingUnitIsNamed() throws Exception {
        assertThat(check("defaultDeadline: 20s", "defaultDeadline: 20"))
                .contains(RouterMain.EXIT_USAGE);
        assertOneLineWith("limits.defaultDeadline");
    }

    @Test
    void anAddressThatIsNoIpNumberIsNamed() throws Exception {
        assertThat(check("log: 127.0.0.1:1", "log: log.example:1")).contains(RouterMain.EXIT_USAGE);
        assertOneLineWith("platform.log must be an IP number and a port");
    }

    @Test
    void aPortOutOfRangeIsNamed() throws Exception {
        assertThat(check("callerPort: 1", "callerPort: 70000")).contains(RouterMain.EXIT_USAGE);
        assertOneLineWith("instance.callerPort must be less than or equal to 65535");
    }

    @Test
    void aClaimWindowShorterThanTheLongestRequestIsNamed() throws Exception {
        assertThat(check("balancerDelay: 0s", "balancerDelay: 0s\n  drainTime: 1h"))
                .contains(RouterMain.EXIT_USAGE);
        assertOneLineWith("claims.window must be longer than limits.drainTime");
    }

    @Test
    void aMissingFileIsNamed() throws Exception {
        String[] args = {"--check", "--config", mFolder.resolve("none.yaml").toString()};
        assertThat(RouterMain.run(args, out(mOut), out(mErr))).contains(RouterMain.EXIT_USAGE);
        assertOneLineWith("none.yaml: cannot be read");
    }

    @Test
    void anUnknownOptionPointsToTheHelp() throws Exception {
        assertThat(RouterMain.run(new String[] {"--nonsense"}, out(mOut), out(mErr)))
                .contains(RouterMain.EXIT_USAGE);
        assertOneLineWith("--help");
    }

    private Optional<Integer> check(String from, String to) throws Exception {
        Path good = Path.of(getClass().getResource("/router.yaml").toURI());
        String text = Files.readString(good);
        Path file = mFolder.resolve("router.yaml");
        Files.writeString(file, from.isEmpty() ? text : text.replace(from, to));
        String[] args = {"--check", "--config", file.toString()};
        return RouterMain.run(args, out(mOut), out(mErr));
    }

    private void assertOneLineWith(String text) {
        assertThat(mErr.toString(UTF_8).lines()).singleElement().asString().contains(text);
    }

    private static PrintStream out(ByteArrayOutputStream bytes) {
        return new PrintStream(bytes, true, UTF_8);
    }
}
