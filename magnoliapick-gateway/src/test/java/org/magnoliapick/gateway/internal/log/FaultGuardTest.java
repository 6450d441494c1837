package org.magnoliapick.gateway.internal.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

final class FaultGuardTest {
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private boolean mLogFails;

    private long readClock() {
        if (mLogFails) {
            throw new StackOverflowError("log");
        }
        return 1;
    }

    private static void fail() {
        throw new StackOverflowError("step");
    }

    /** Guards against tasks that end because their fault cannot be logged. */
    @Test
    void containsAFaultThatCannotBeLogged() throws Exception {
        JsonLineWriter writer =
                new JsonLineWriter(new PrintStream(mOut, true, StandardCharsets.UTF_8));
        FaultGuard guard = new FaultGuard(new EventLog(writer, this::readClock));
        writer.start();
        mLogFails = true;
        assertThat(guard.run("sweep", FaultGuardTest::fail)).isFalse();
        mLogFails = false;
        assertThat(guard.run("sweep", FaultGuardTest::fail)).isFalse();
        assertThat(guard.run("sweep", () -> {})).isTrue();
        writer.stop(10_000);
        assertThat(mOut.toString(StandardCharsets.UTF_8).lines())
                .singleElement()
                .asString()
                .contains("\"step.fault\",\"step\":\"sweep\"", "StackOverflowError: step")
                .contains("\"unloggedBefore\":1");
    }
}
