package org.magnoliapick.ports.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.magnoliapick.ports.Endpoint;
import org.magnoliapick.share.LoadReport;

/** Asks small questions that are answered with one JSON object. */
final class JsonClient {
    private final HttpTransport mTransport;

    JsonClient(HttpTransport transport) {
        mTransport = transport;
    }

    /** Returns what the decoder makes of the answer, or empty if there was no good answer. */
    <T> Optional<T> get(Endpoint endpoint, String path, Duration timeout, Decoder<T> decoder) {
        try {
            long deadlineMillis = mTransport.nowMillis() + timeout.toMillis();
            HttpUriRequestBase request = new HttpUriRequestBase("GET", URI.create(path));
            byte[] body =
                    mTransport.exchange(
                            endpoint, request, deadlineMillis, Exchange::successfulBody);
            return Optional.of(decoder.decode(Json.parseObject(body)));
        } catch (ExchangeException e) {
            return Optional.empty();
        }
    }

    /** Sends an object and returns the status of the answer, whose body is read and dropped. */
    int send(String method, Endpoint endpoint, String path, ObjectNode body, Duration timeout)
            throws ExchangeException {
        HttpUriRequestBase request = new HttpUriRequestBase(method, URI.create(path));
        byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        request.setEntity(new ByteArrayEntity(bytes, ContentType.APPLICATION_JSON));
        long deadlineMillis = mTransport.nowMillis() + timeout.toMillis();
        return mTransport.exchange(
                endpoint,
                request,
                deadlineMillis,
                exchange -> {
                    exchange.wholeBody();
                    return exchange.status();
                });
    }

    /** Asks an upstream for its view of its load. */
    Optional<LoadReport> load(Endpoint upstream, Duration timeout) {
        return get(upstream, "/load", timeout, JsonClient::decodeLoad);
    }

    private static LoadReport decodeLoad(JsonNode node) throws ExchangeException {
        return new LoadReport(
                Json.longAt(node, "takenAtMillis"),
                Json.intAt(node, "running"),
                Json.intAt(node, "waiting"),
                Json.intAt(node, "maxRunning"),
                Json.doubleAt(node, "cacheUsedRatio"));
    }

    /** Turns a JSON object into a value. */
    interface Decoder<T> {
        /** Decodes the object. */
        T decode(JsonNode node) throws ExchangeException;
    }
}
