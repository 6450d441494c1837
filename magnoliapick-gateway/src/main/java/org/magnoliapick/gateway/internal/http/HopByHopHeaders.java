package org.magnoliapick.gateway.internal.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Headers that apply to a single connection or to message framing and are not forwarded. */
public final class HopByHopHeaders {
    private static final List<CharSequence> NAMES =
            List.of(
                    HttpHeaderNames.CONNECTION,
                    "Keep-Alive",
                    "Proxy-Connection",
                    HttpHeaderNames.PROXY_AUTHENTICATE,
                    HttpHeaderNames.PROXY_AUTHORIZATION,
                    HttpHeaderNames.TE,
                    HttpHeaderNames.TRAILER,
                    HttpHeaderNames.TRANSFER_ENCODING,
                    HttpHeaderNames.CONTENT_LENGTH,
                    HttpHeaderNames.UPGRADE,
                    HttpHeaderNames.EXPECT);

    private HopByHopHeaders() {}

    /** Returns a copy of headers without these and without those named by Connection headers. */
    public static HttpHeaders copyWithout(HttpHeaders headers) {
        HttpHeaders copy = headers.copy();
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",")) {
                if (!name.isBlank()) {
                    copy.remove(name.trim());
                }
            }
        }
        NAMES.forEach(copy::remove);
        return copy;
    }
}
