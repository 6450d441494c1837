package org.magnoliapick.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliapick.gateway.RunningGateway.request;

import io.netty.handler.codec.http.HttpResponse;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.pool.ListedUpstream;
import org.magnoliapick.route.TrafficConfig;

/** Guards against tasks of the event loop that do not run again after a fault in one run. */
@Timeout(60)
final class TaskEndsAfterFaultTest {
    private static final String CONFIG = "service s;route safe SAFE s 5000;";

    /** Enough for each of the repeated tasks to be met. */
    private static final int FAULTS = 40;

    private final FaultyDialect mDialect = new FaultyDialect();
    private RunningGateway mGateway;

    /** Overflows the stack on records that contain the word nested, and as often as told. */
    private static final class FaultyDialect extends ConfigDialect {
        private final AtomicInteger mEpochFaults = new AtomicInteger();

        @Override
        public Optional<TrafficConfig> readConfig(String key, byte[] value) {
            overflowIfNested(value);
            return super.readConfig(key, value);
        }

        @Override
        public Optional<ListedUpstream> readUpstream(UpstreamId id, byte[] value) {
            overflowIfNested(value);
            return super.readUpstream(id, value);
        }

        private static void overflowIfNested(byte[] value) {
            if (new String(value, StandardCharsets.ISO_8859_1).contains("nested")) {
                throw new StackOverflowError("nested");
            }
        }

        @Override
        public OptionalLong readStoreEpoch(HttpResponse head) {
            if (mEpochFaults.getAndUpdate(each -> Math.max(0, each - 1)) > 0) {
                throw new IllegalArgumentException("epoch");
            }
            return super.readStoreEpoch(head);
        }
    }

    @BeforeEach
    void start() throws Exception {
        mGateway = new RunningGateway(mDialect, CONFIG);
        mGateway.addUpstream(
                "u",
                "s",
                (request, socket) -> {
                    FakeServer.write(socket, RunningGateway.response(request));
                    return true;
                });
    }

    @AfterEach
    void close() throws Exception {
        mGateway.close();
    }

    @Test
    void followsTheConfigurationAfterARecordThatOverflowsTheStack() {
        mGateway.append(StoreTopic.CONFIG, "other", "nested");
        mGateway.configure(CONFIG);
    }

    @Test
    void followsTheListOfUpstreamsAfterARecordThatOverflowsTheStack() throws Exception {
        mGateway.append(StoreTopic.UPSTREAMS, "odd", "nested");
        mGateway.addUpstream("v", "s", (request, socket) -> false);
    }

    @Test
    void followsTheStoreAfterResponsesThatCannotBeProcessed() throws Exception {
        mDialect.mEpochFaults.set(4);
        mGateway.configure(CONFIG);
        mGateway.addUpstream("v", "s", (request, socket) -> false);
    }

    @Test
    void goesOnAfterFaultsInItsTasks() throws Exception {
        for (int i = 0; i < FAULTS; i++) {
            mGateway.failNextStep(new StackOverflowError("task"));
        }
        mGateway.configure("idle 1000;" + CONFIG);
        try (Socket socket = mGateway.connect()) {
            ResponseReader responses = new ResponseReader(socket);
            FakeServer.write(socket, request("safe", "1"));
            assertThat(responses.next()).startsWith("HTTP/1.1 200");
            mGateway.advanceClock(1_100);
            // The sweep of connections still runs.
            assertThat(responses.next()).isEmpty();
        }
    }
}
