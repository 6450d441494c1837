package org.magnoliapick.gateway.internal.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.magnoliapick.request.AttemptEnd;

/** What happens to a request on a connection. Exactly one of complete and failed comes last. */
public interface AnswerListener {
    /** Takes the head of an answer; returns whether it is the answer to this request. */
    boolean head(HttpResponse head);

    /** Takes a piece of the body, which the caller of this method releases. */
    void content(ByteBuf piece);

    /** The whole answer is there. */
    void complete();

    /** The request ended without a whole answer. */
    void failed(AttemptEnd end);
}
