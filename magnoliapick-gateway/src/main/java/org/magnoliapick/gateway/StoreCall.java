package org.magnoliapick.gateway;

import io.netty.handler.codec.http.HttpRequest;

/** A call to the store: what is sent, and how the answer is read. */
public interface StoreCall {
    /** Returns the request, without a host. */
    HttpRequest request();

    /** Reads the answer. */
    StoreResponse parse(int status, byte[] body);
}
