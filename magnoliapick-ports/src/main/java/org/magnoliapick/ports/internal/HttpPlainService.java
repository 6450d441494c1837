package org.magnoliapick.ports.internal;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.magnoliapick.ports.AttemptFailure;
import org.magnoliapick.ports.Endpoint;
import org.magnoliapick.ports.PlainService;
import org.magnoliapick.ports.ServiceCall;
import org.magnoliapick.ports.ServiceResult;
import org.magnoliapick.share.LoadReport;

/** Calls plain services over HTTP. */
final class HttpPlainService implements PlainService {
    /** Headers of one connection, or that this adapter writes itself; in lower case. */
    private static final Set<String> OWN_HEADERS =
            Set.of(
                    "connection",
                    "content-length",
                    "expect",
                    "host",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    WireNames.ATTEMPT.toLowerCase(Locale.ROOT));

    private final HttpTransport mTransport;
    private final JsonClient mClient;

    HttpPlainService(HttpTransport transport) {
        mTransport = transport;
        mClient = new JsonClient(transport);
    }

    @Override
    public ServiceResult call(Endpoint service, ServiceCall call) {
        try {
            HttpUriRequestBase request = newRequest(call);
            return mTransport.exchange(
                    service, request, call.deadlineMillis(), exchange -> read(exchange, call));
        } catch (ExchangeException e) {
            return new ServiceResult.Broken(e.failure(), e.getMessage());
        }
    }

    private static HttpUriRequestBase newRequest(ServiceCall call) throws ExchangeException {
        HttpUriRequestBase request = new HttpUriRequestBase(call.method(), uriOf(call));
        call.headers().forEach((name, values) -> addHeaders(request, name, values));
        request.setHeader(WireNames.ATTEMPT, call.attempt().value());
        if (call.body().length > 0) {
            request.setEntity(new ByteArrayEntity(call.body(), null));
        }
        return request;
    }

    private static URI uriOf(ServiceCall call) throws ExchangeException {
        try {
            return URI.create(call.pathAndQuery());
        } catch (IllegalArgumentException e) {
            throw new ExchangeException(AttemptFailure.NOT_SENT, "The path cannot be read");
        }
    }

    private static void addHeaders(HttpUriRequestBase request, String name, List<String> values) {
        if (!isOwn(name)) {
            values.forEach(value -> request.addHeader(name, value));
        }
    }

    private static boolean isOwn(String name) {
        return OWN_HEADERS.contains(name.toLowerCase(Locale.ROOT));
    }

    private static ServiceResult read(Exchange exchange, ServiceCall call) throws IOException {
        exchange.requireStarted(call.attempt());
        Map<String, List<String>> headers = new LinkedHashMap<>();
        for (Header header : exchange.headers()) {
            if (!isOwn(header.getName())) {
                headers.computeIfAbsent(header.getName(), name -> new ArrayList<>(1))
                        .add(header.getValue());
            }
        }
        return new ServiceResult.Whole(exchange.status(), headers, exchange.wholeBody());
    }

    @Override
    public Optional<LoadReport> load(Endpoint service, Duration timeout) {
        return mClient.load(service, timeout);
    }
}
