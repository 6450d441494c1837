package org.magnoliapick.gateway.internal.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.magnoliapick.request.AttemptEnd;

/**
 * Receives the response to a request sent on an {@link HttpConnection}. The last call is exactly
 * one of {@link #onComplete} and {@link #onFailure}, unless the request is cancelled.
 */
public interface ResponseListener {
    /** Receives the head of a response; returns whether it belongs to this request. */
    boolean onHead(HttpResponse head);

    /** Receives a chunk of the body, which the caller of this method releases. */
    void onContent(ByteBuf chunk);

    /** The response is complete. */
    void onComplete();

    /** The request ended without a complete response. */
    void onFailure(AttemptEnd end);
}
