package org.magnoliapick.gateway.internal.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.magnoliapick.request.AttemptEnd;

/** What happens to a request on a connection. Exactly one of complete and failed comes last. */
public interface ResponseListener {
    /** Takes the head of an answer; returns whether it is the answer to this request. */
    boolean onHead(HttpResponse head);

    /** Takes a piece of the body, which the caller of this method releases. */
    void onContent(ByteBuf piece);

    /** The whole answer is there. */
    void onComplete();

    /** The request ended without a whole answer. */
    void onFailure(AttemptEnd end);
}
