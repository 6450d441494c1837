package org.magnoliapick.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliapick.gateway.GatewayFixture.requestId;

import java.io.IOException;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a refusal that is taken for the answer to another attempt than its own. */
@Timeout(60)
final class RepeatedRefusalTest {
    private static final String REFUSAL =
            "HTTP/1.1 503 Busy\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 3\r\n\r\nno\n";
    private static final String OK =
            "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nContent-Length: 4\r\n\r\nbody";

    private static void writeOk(String request, Socket socket) throws IOException {
        FakeServer.write(socket, OK.formatted(requestId(request)));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 503 Busy\r\nId: other\r\n",
                "HTTP/1.1 503 Busy\r\n",
                "HTTP/1.1 429 Busy\r\nId: other\r\n",
                "HTTP/1.1 421 Other\r\nId: other\r\n",
                "HTTP/1.1 400 Bad\r\n"
            })
    void aRefusalThatDoesNotNameTheRequestIsSkipped(String head) throws Exception {
        try (GatewayFixture gateway =
                new GatewayFixture(
                        (request, socket) -> {
                            FakeServer.write(
                                    socket, head + "Not-Run: 1\r\nContent-Length: 3\r\n\r\nno\n");
                            writeOk(request, socket);
                            return true;
                        })) {
            assertThat(gateway.send("unsafe", "1")).startsWith("HTTP/1.1 200").endsWith("body");
            assertThat(gateway.upstreamRequests()).isEqualTo(1);
            gateway.awaitLogged("\"kind\":\"response.crossed\",\"request\":\"1\"");
        }
    }

    @Test
    void aConnectionWithAResponseToAnotherRequestIsNotUsedAgain() throws Exception {
        try (GatewayFixture gateway =
                new GatewayFixture(
                        (request, socket) -> {
                            FakeServer.write(socket, REFUSAL.formatted("other"));
                            writeOk(request, socket);
                            return true;
                        })) {
            assertThat(gateway.send("unsafe", "1")).endsWith("body");
            assertThat(gateway.send("unsafe", "2")).endsWith("body");
            assertThat(gateway.upstream(0).connectionCount()).isEqualTo(2);
        }
    }

    /** Each attempt carries the caller's identifier, so only the connection tells them apart. */
    @Test
    void theRefusalOfTheFirstAttemptIsNotTakenForThatOfTheSecond() throws Exception {
        Set<Socket> refused = ConcurrentHashMap.newKeySet();
        try (GatewayFixture gateway =
                new GatewayFixture(
                        (request, socket) -> {
                            if (refused.isEmpty()) {
                                refused.add(socket);
                                FakeServer.write(socket, REFUSAL.formatted(requestId(request)));
                                return true;
                            }
                            if (refused.contains(socket)) {
                                FakeServer.write(socket, REFUSAL.formatted(requestId(request)));
                            }
                            writeOk(request, socket);
                            return true;
                        })) {
            assertThat(gateway.send("unsafe", "1")).startsWith("HTTP/1.1 200").endsWith("body");
            assertThat(gateway.upstreamRequests()).isEqualTo(2);
            assertThat(gateway.upstream(0).connectionCount()).isEqualTo(2);
        }
    }

    @Test
    void aSuccessThatClaimsNotToHaveRunProvesNothing() throws Exception {
        try (GatewayFixture gateway =
                new GatewayFixture(
                        (request, socket) -> {
                            String head = OK.replaceFirst("\r\n", "\r\nNot-Run: 1\r\n");
                            FakeServer.write(socket, head.formatted(requestId(request)));
                            return true;
                        })) {
            assertThat(gateway.send("unsafe", "1")).startsWith("HTTP/1.1 502");
            assertThat(gateway.upstreamRequests()).isEqualTo(1);
        }
    }

    /** The rest of a refusal and the next response must not be read as one head. */
    @Test
    void aCutRefusalBeforeAResponseIsNotTakenForItsHead() throws Exception {
        try (GatewayFixture gateway =
                new GatewayFixture(
                        (request, socket) -> {
                            FakeServer.write(socket, "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n");
                            writeOk(request, socket);
                            return true;
                        })) {
            assertThat(gateway.send("unsafe", "1")).startsWith("HTTP/1.1 502");
            assertThat(gateway.upstreamRequests()).isEqualTo(1);
        }
    }
}
