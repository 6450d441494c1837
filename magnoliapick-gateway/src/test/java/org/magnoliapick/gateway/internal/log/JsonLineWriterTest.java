package org.magnoliapick.gateway.internal.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
final class JsonLineWriterTest {
    @Test
    void blockedOutputDoesNotBlockLoggingAndDroppedLinesAreCounted() throws Exception {
        CountDownLatch writing = new CountDownLatch(1);
        CountDownLatch unblocked = new CountDownLatch(1);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        OutputStream blocked =
                new OutputStream() {
                    @Override
                    public void write(int value) {
                        writing.countDown();
                        try {
                            unblocked.await();
                        } catch (InterruptedException e) {
                            // stop() interrupted the writer while it was blocked.
                            Thread.currentThread().interrupt();
                        }
                        bytes.write(value);
                    }
                };
        JsonLineWriter writer = new JsonLineWriter(new PrintStream(blocked, true));
        writer.start();
        writer.add("first");
        writing.await();
        for (int i = 0; i < 10_000; i++) {
            writer.add("0123456789");
        }
        unblocked.countDown();
        writer.stop(10_000);
        String text = bytes.toString(StandardCharsets.UTF_8);
        assertThat(text).startsWith("first\n").contains("\"kind\":\"log.left-out\",\"lines\":");
    }

    @Test
    void escapesSpecialCharacters() throws Exception {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        JsonLineWriter writer = new JsonLineWriter(new PrintStream(bytes, true));
        new EventLog(writer, () -> 7).line("a").with("b", "\"\\\n").with("c", 1).log();
        writer.start();
        writer.stop(10_000);
        assertThat(bytes.toString(StandardCharsets.UTF_8))
                .isEqualTo("{\"atMillis\":7,\"kind\":\"a\",\"b\":\"\\\"\\\\\\u000a\",\"c\":1}\n");
    }
}
