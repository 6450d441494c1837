package org.magnoliapick.load;

import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;

/** How a request is written and its answer checked. */
public interface RequestShape {
    /** Writes a request that carries the nonce. */
    HttpUriRequestBase newRequest(String nonce);

    /** Returns whether the request may run only once. */
    boolean mustRunOnce();

    /** Returns whether the answer is streamed. */
    boolean isStreamed();

    /** Reads a whole answer. */
    WholeAnswer read(byte[] body);

    /**
     * What an answer holds.
     *
     * @param nonce the nonce that it names; blank if it names none
     * @param tokens tokens of prompt and output that it cost
     * @param heldMillis milliseconds that it held a worker
     */
    record WholeAnswer(String nonce, long tokens, long heldMillis) {}
}
