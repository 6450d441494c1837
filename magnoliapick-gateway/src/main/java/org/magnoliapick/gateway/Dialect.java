package org.magnoliapick.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.pool.ListedUpstream;
import org.magnoliapick.route.TrafficConfig;

/** How the world around the gateway spells what it says. Translates and decides nothing. */
public interface Dialect {
    /** Reads the head of a caller's request; empty if it lacks what every request has. */
    Optional<RequestHead> readRequest(HttpRequest head);

    /** Turns a caller's headers into those that an upstream gets. */
    void rewriteHeaders(HttpHeaders headers, ForwardedHead forward);

    /** Reads the head of an upstream's answer. */
    ResponseHead readResponse(HttpResponse head);

    /** Reads a version of the configuration; empty if the record is none that can be read. */
    Optional<TrafficConfig> readConfig(String key, byte[] value);

    /** Reads an upstream's entry in the list; empty if it names no upstream to use. */
    Optional<ListedUpstream> readUpstream(UpstreamId id, byte[] value);

    /** Returns the request that reads the newest records of a topic after a key. */
    StoreCall newestRecords(StoreTopic topic, Optional<String> afterKey);

    /** Returns the request that reads a topic from an offset and waits for records. */
    StoreCall recordsFrom(StoreTopic topic, long fromOffset, long waitMillis);
}
