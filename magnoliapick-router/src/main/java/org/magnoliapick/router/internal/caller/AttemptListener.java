package org.magnoliapick.router.internal.caller;

import org.magnoliapick.lib.AttemptId;
import org.magnoliapick.request.AttemptEnd;

/** Hears what happens to an attempt, on the thread that runs it. */
interface AttemptListener {
    /** The first byte is about to be sent; returns false if it must not be. */
    boolean sendBegins(AttemptId attempt);

    /** The head arrived; returns false if nobody wants the rest. */
    boolean head(AttemptId attempt, AnswerHead head);

    /** A piece arrived; returns false if nobody wants the rest. */
    boolean chunk(AttemptId attempt, int index, byte[] data, int tokens);

    /** The answer is whole. */
    void end(AttemptId attempt, long promptTokens, long outputTokens);

    /** The attempt ended without a whole answer. */
    void failed(AttemptId attempt, AttemptEnd end);
}
