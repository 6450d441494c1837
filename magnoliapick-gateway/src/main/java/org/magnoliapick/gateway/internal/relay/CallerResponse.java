package org.magnoliapick.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.OptionalLong;
import org.magnoliapick.errors.ErrorKind;

/**
 * Writes the response to one request of a caller. The last call is exactly one of {@link
 * #sendComplete}, {@link #sendError}, {@link #end} and {@link #abort}, or {@link #fail}.
 */
public interface CallerResponse {
    /** Sends a complete response; takes ownership of the body. */
    void sendComplete(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

    /** Sends the head of a response whose body follows in chunks. */
    void sendHead(HttpResponseStatus status, HttpHeaders headers);

    /** Sends a chunk of the body; takes ownership of it. */
    void sendChunk(ByteBuf chunk);

    /** Ends a response that was sent in chunks. */
    void end();

    /** Sends an error response that the gateway itself generated. */
    void sendError(ErrorKind kind, OptionalLong retryAfterMillis);

    /** Closes the connection, so that a partially sent response does not look complete. */
    void abort();

    /**
     * Ends the response after a fault of the gateway itself: with an error response if nothing was
     * sent yet, or else by closing the connection. Does nothing if the response has ended.
     */
    void fail(ErrorKind kind);

    /** Returns whether more can be sent now; false while the caller reads too slowly. */
    boolean isWritable();

    /** Returns whether the connection to the caller is open, as far as it was read. */
    boolean isCallerConnected();
}
