package org.magnoliapick.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against callers with any key, or none, once the last workspace has been removed. */
@Timeout(20)
final class RemovedWorkspacesTest {
    private static final String SERVICES = "service s;route safe SAFE s 2000;";

    private static String send(RunningGateway gateway, String key) throws Exception {
        try (Socket socket = gateway.connect()) {
            FakeServer.write(
                    socket,
                    "POST /safe/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: 1\r\n"
                            + key
                            + "Content-Length: 0\r\n\r\n");
            return new ResponseReader(socket).next();
        }
    }

    @Test
    void refusesEveryKeyOnceTheLastWorkspaceIsRemoved() throws Exception {
        try (RunningGateway gateway =
                new RunningGateway(new ConfigDialect(), SERVICES + "key k w")) {
            gateway.addUpstream(
                    "u",
                    "s",
                    (request, socket) -> {
                        FakeServer.write(socket, RunningGateway.response(request));
                        return true;
                    });
            assertThat(send(gateway, "Key: k\r\n")).startsWith("HTTP/1.1 200");
            gateway.configure(SERVICES + "keys");
            assertThat(send(gateway, "Key: k\r\n")).startsWith("HTTP/1.1 401");
            assertThat(send(gateway, "Key: other\r\n")).startsWith("HTTP/1.1 401");
            assertThat(send(gateway, "")).startsWith("HTTP/1.1 401");
        }
    }
}
