package org.magnoliapick.gateway;

import io.netty.handler.codec.http.HttpRequest;

/** A read call to the store: the request to send and the parser of its response. */
public interface StoreCall {
    /** Returns the request without a Host header. */
    HttpRequest request();

    /** Parses the response. */
    StoreResponse parse(int status, byte[] body);
}
