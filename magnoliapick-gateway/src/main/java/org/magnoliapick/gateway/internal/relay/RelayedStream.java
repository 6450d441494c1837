package org.magnoliapick.gateway.internal.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;

/** The stream that a caller has received the head of. */
final class RelayedStream {
    /** The headers that tell how the body is to be read. */
    private static final List<CharSequence> FORMAT =
            List.of(HttpHeaderNames.CONTENT_TYPE, HttpHeaderNames.CONTENT_ENCODING);

    private HttpResponse mHead;

    /** Records the head that is relayed. */
    void begin(HttpResponse head) {
        mHead = head;
    }

    /** Returns whether the body of another response can continue the stream. */
    boolean isContinuedBy(HttpResponse head) {
        return head.status().equals(mHead.status())
                && FORMAT.stream()
                        .allMatch(
                                name ->
                                        head.headers()
                                                .getAll(name)
                                                .equals(mHead.headers().getAll(name)));
    }
}
