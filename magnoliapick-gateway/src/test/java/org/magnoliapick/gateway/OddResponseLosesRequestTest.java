package org.magnoliapick.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliapick.gateway.RunningGateway.request;

import java.net.Socket;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests without an answer because a response cannot be written as it came. */
@Timeout(20)
final class OddResponseLosesRequestTest {
    private static final String IDENTITY = "\r\nId: %s\r\nSigned: x\r\n";

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200" + IDENTITY + "Content-Length: 4\r\n\r\nbody",
                "HTTP/1.1 200 O\u0001K" + IDENTITY + "Content-Length: 4\r\n\r\nbody",
                "HTTP/1.1 200 \u00e9" + IDENTITY + "Content-Length: 4\r\n\r\nbody",
                "HTTP/1.0 200 OK" + IDENTITY + "Content-Length: 4\r\n\r\nbody",
                "HTTP/2.0 200 OK" + IDENTITY + "Content-Length: 4\r\n\r\nbody",
                "HTTP/1.1 200 OK" + IDENTITY + "A: \u0001\r\nContent-Length: 4\r\n\r\nbody",
                "HTTP/1.1 200 OK" + IDENTITY + "A: \u007f\r\nContent-Length: 4\r\n\r\nbody",
                "HTTP/1.1 200 OK" + IDENTITY + "A: \u00e9\r\nContent-Length: 4\r\n\r\nbody",
                "HTTP/1.1 200 OK" + IDENTITY + "A: b\r\n c\r\nContent-Length: 4\r\n\r\nbody",
                "HTTP/1.1 200 OK" + IDENTITY + ": x\r\nContent-Length: 4\r\n\r\nbody",
                "HTTP/1.1 200 OK" + IDENTITY + "A b: c\r\nContent-Length: 4\r\n\r\nbody",
                "HTTP/1.1 200 OK" + IDENTITY + "A\r\nContent-Length: 4\r\n\r\nbody",
                "HTTP/1.1 200 OK" + IDENTITY + "Connection: ,\r\nContent-Length: 4\r\n\r\nbody",
                "HTTP/1.1 200 OK" + IDENTITY + "Content-Length: 4, 4\r\n\r\nbody",
                "HTTP/1.1 200 OK" + IDENTITY + "Content-Length: -4\r\n\r\nbody",
                "HTTP/1.1 200 OK" + IDENTITY + "Content-Length: x\r\n\r\nbody",
                "HTTP/1.1 200 OK"
                        + IDENTITY
                        + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA: b\r\n\r\n",
                "HTTP/1.1 200 OK"
                        + IDENTITY
                        + "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                "HTTP/1.1 204 OK" + IDENTITY + "Content-Length: 4\r\n\r\nbody",
                "HTTP/1.1 205 OK" + IDENTITY + "Content-Length: 4\r\n\r\nbody",
                "HTTP/1.1 304 OK" + IDENTITY + "Content-Length: 4\r\n\r\nbody",
                "HTTP/1.1 101 OK" + IDENTITY + "\r\n",
                "HTTP/1.1 099 OK" + IDENTITY + "Content-Length: 4\r\n\r\nbody",
                "HTTP/1.1 999 OK" + IDENTITY + "Content-Length: 4\r\n\r\nbody",
                "HTTP/1.1 9999999999 OK" + IDENTITY + "Content-Length: 4\r\n\r\nbody",
                "HTTP/1.1 -1 OK" + IDENTITY + "Content-Length: 4\r\n\r\nbody",
                "\r\n\r\n\r\n"
            })
    void answersARequestWhateverItsUpstreamSends(String response) throws Exception {
        try (RunningGateway gateway =
                new RunningGateway(new ConfigDialect(), "service s;route unsafe UNSAFE s 2000")) {
            gateway.addUpstream(
                    "u",
                    "s",
                    (request, socket) -> {
                        boolean odd = request.contains("Id: odd");
                        FakeServer.write(
                                socket,
                                odd
                                        ? response.replace("%s", "odd")
                                        : RunningGateway.response(request));
                        return true;
                    });
            try (Socket socket = gateway.connect()) {
                ResponseReader responses = new ResponseReader(socket);
                FakeServer.write(socket, request("unsafe", "odd"));
                assertThat(responses.next()).matches("(?s)HTTP/1\\.1 [2-9].*");
                FakeServer.write(socket, request("unsafe", "next") + request("nowhere", "last"));
                assertThat(responses.next()).matches("(?s)HTTP/1\\.1 (200|503) .*");
                assertThat(responses.next()).startsWith("HTTP/1.1 404");
            }
        }
    }
}
