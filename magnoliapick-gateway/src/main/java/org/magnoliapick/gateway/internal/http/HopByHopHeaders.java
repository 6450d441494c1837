package org.magnoliapick.gateway.internal.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Headers that concern one connection only and are not passed on. */
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

    /** Removes them, and those that the Connection header names, from a copy of headers. */
    public static HttpHeaders copyWithout(HttpHeaders headers) {
        HttpHeaders kept = headers.copy();
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",")) {
                if (!name.isBlank()) {
                    kept.remove(name.trim());
                }
            }
        }
        NAMES.forEach(kept::remove);
        return kept;
    }
}
