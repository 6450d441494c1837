package org.magnoliapick.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.OptionalLong;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.pool.ListedUpstream;
import org.magnoliapick.route.TrafficConfig;

/**
 * Translates between the gateway's types and the header names, configuration format and store
 * protocol of the platform. Makes no decisions.
 */
public interface Dialect {
    /** Reads the head of a caller's request; empty if a mandatory header is missing. */
    Optional<RequestHead> readRequest(HttpRequest head);

    /** Changes a caller's headers in place into those sent to an upstream. */
    void rewriteHeaders(HttpHeaders headers, ForwardedHead forwarded);

    /** Reads the head of an upstream's response. */
    ResponseHead readResponse(HttpResponse head);

    /** Returns the key of the record that holds the configuration. */
    String configKey();

    /** Reads a version of the configuration; empty if the record is not a readable one. */
    Optional<TrafficConfig> readConfig(String key, byte[] value);

    /**
     * Reads the failure domain that is evacuated as long as a key of the configuration's topic
     * exists; empty if the key is not one of an evacuation, or names no valid domain.
     */
    Optional<FailureDomain> readEvacuation(String key);

    /** Reads an upstream's entry in the list; empty if the entry is invalid. */
    Optional<ListedUpstream> readUpstream(UpstreamId id, byte[] value);

    /**
     * Reads the epoch of the store's logs from the head of any of its responses; empty if it names
     * none. The epoch increases when the store loses records and gives out offsets again.
     */
    OptionalLong readStoreEpoch(HttpResponse head);

    /** Returns a call that reads the newest record of each key, beginning after a key if given. */
    StoreCall newestRecords(StoreTopic topic, Optional<String> afterKey);

    /** Returns a call that reads a topic from an offset and waits for new records. */
    StoreCall recordsFrom(StoreTopic topic, long fromOffset, long waitMillis);
}
