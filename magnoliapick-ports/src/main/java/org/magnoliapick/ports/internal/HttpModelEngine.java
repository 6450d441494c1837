package org.magnoliapick.ports.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.magnoliapick.lib.AttemptId;
import org.magnoliapick.ports.AttemptFailure;
import org.magnoliapick.ports.Endpoint;
import org.magnoliapick.ports.ModelCall;
import org.magnoliapick.ports.ModelEngine;
import org.magnoliapick.ports.ModelStream;
import org.magnoliapick.share.LoadReport;

/** Calls model engines over HTTP. */
final class HttpModelEngine implements ModelEngine {
    private static final long CANCEL_TIMEOUT_MILLIS = 1_000;

    private final HttpTransport mTransport;
    private final JsonClient mClient;

    HttpModelEngine(HttpTransport transport) {
        mTransport = transport;
        mClient = new JsonClient(transport);
    }

    @Override
    public void run(Endpoint engine, ModelCall call, ModelStream stream) {
        HttpUriRequestBase request = new HttpUriRequestBase("POST", URI.create(call.path()));
        request.setHeader(WireNames.ATTEMPT, call.attempt().value());
        call.resumeFrom().ifPresent(from -> request.setHeader(WireNames.RESUME_FROM, from));
        request.setEntity(new ByteArrayEntity(call.body(), ContentType.APPLICATION_JSON));
        ModelAnswer answer = new ModelAnswer(stream, mTransport.settings().maxEventBytes());
        try {
            mTransport.exchange(
                    engine,
                    request,
                    call.deadlineMillis(),
                    exchange -> readAnswer(exchange, call, answer));
        } catch (ExchangeException e) {
            answer.fail(e);
        }
    }

    private static Void readAnswer(Exchange exchange, ModelCall call, ModelAnswer answer)
            throws IOException {
        exchange.requireStarted(call.attempt());
        int status = exchange.status();
        boolean hasFailed = status >= HttpStatus.SC_SERVER_ERROR;
        if (hasFailed || status == HttpStatus.SC_TOO_MANY_REQUESTS) {
            throw new ExchangeException(AttemptFailure.FAILED, "Status " + status);
        }
        answer.read(exchange);
        return null;
    }

    @Override
    public void cancel(Endpoint engine, AttemptId attempt) {
        URI path = URI.create("/attempts/" + Paths.encode(attempt.value()));
        HttpUriRequestBase request = new HttpUriRequestBase("DELETE", path);
        long deadlineMillis = mTransport.nowMillis() + CANCEL_TIMEOUT_MILLIS;
        try {
            mTransport.exchange(engine, request, deadlineMillis, Exchange::wholeBody);
        } catch (ExchangeException e) {
            // An engine that misses a cancel runs to its end; its answer is dropped as late.
        }
    }

    @Override
    public Optional<LoadReport> load(Endpoint engine, Duration timeout) {
        return mClient.load(engine, timeout);
    }

    @Override
    public Optional<CacheEvents> cacheEvents(Endpoint engine, long after, Duration timeout) {
        return mClient.get(
                engine, "/cache/events?after=" + after, timeout, HttpModelEngine::decodeEvents);
    }

    private static CacheEvents decodeEvents(JsonNode node) throws ExchangeException {
        return new CacheEvents(
                Json.longAt(node, "lastSequence"),
                Json.longsAt(node, "stored"),
                Json.longsAt(node, "evicted"));
    }

    @Override
    public Optional<LoadedState> loaded(Endpoint engine, Duration timeout) {
        return mClient.get(engine, "/state", timeout, HttpModelEngine::decodeState);
    }

    private static LoadedState decodeState(JsonNode node) throws ExchangeException {
        return new LoadedState(
                Json.textsAt(node, "models"),
                Json.textsAt(node, "adapters"),
                Json.textAt(node, "role"),
                Json.longAt(node, "fencingNumber"));
    }

    @Override
    public OrderResult order(Endpoint engine, EngineOrder order, Duration timeout) {
        ObjectNode body = Json.mapper().createObjectNode();
        body.put("kind", order.kind().name());
        body.put("subject", order.subject());
        body.put("fencingNumber", order.fencingNumber());
        try {
            int status = mClient.send("POST", engine, "/orders", body, timeout);
            return orderResult(status);
        } catch (ExchangeException e) {
            return e.failure().provesNotRun() ? OrderResult.REFUSED : OrderResult.UNKNOWN;
        }
    }

    private static OrderResult orderResult(int status) {
        if (status < HttpStatus.SC_REDIRECTION) {
            return OrderResult.ACCEPTED;
        }
        if (status == HttpStatus.SC_CONFLICT) {
            return OrderResult.FENCED;
        }
        boolean isOwnRefusal = status < HttpStatus.SC_SERVER_ERROR;
        return isOwnRefusal ? OrderResult.REFUSED : OrderResult.UNKNOWN;
    }
}
