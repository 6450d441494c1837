package org.magnoliapick.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.OptionalLong;
import org.magnoliapick.errors.ErrorKind;

/** How a caller is answered. Exactly one of whole, error, end and abort comes last. */
public interface CallerResponse {
    /** Sends a whole answer; takes over the body. */
    void sendComplete(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

    /** Sends the head of an answer that comes in pieces. */
    void sendHead(HttpResponseStatus status, HttpHeaders headers);

    /** Sends a piece; takes it over. */
    void sendChunk(ByteBuf piece);

    /** Ends an answer that came in pieces. */
    void end();

    /** Sends an error of the gateway's own. */
    void sendError(ErrorKind kind, OptionalLong retryAfterMillis);

    /** Closes the connection, so that an answer that has begun does not look complete. */
    void abort();

    /** Returns whether the caller keeps up with what it is sent. */
    boolean isWritable();
}
