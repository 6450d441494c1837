package org.magnoliapick.ports.internal;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.magnoliapick.ports.AppendResult;
import org.magnoliapick.ports.Endpoint;
import org.magnoliapick.ports.LogPage;
import org.magnoliapick.ports.LogService;

/** Reaches the log service over HTTP. */
final class HttpLogService implements LogService {
    /** What a read may take beyond the wait that the log was asked for. */
    private static final Duration READ_MARGIN = Duration.ofSeconds(2);

    private final HttpTransport mTransport;
    private final JsonClient mClient;
    private final Endpoint mLog;

    HttpLogService(HttpTransport transport, Endpoint log) {
        mTransport = transport;
        mClient = new JsonClient(transport);
        mLog = log;
    }

    @Override
    public AppendResult append(String stream, byte[] payload, Duration timeout) {
        URI path = URI.create(pathOf(stream));
        HttpUriRequestBase request = new HttpUriRequestBase("POST", path);
        request.setEntity(new ByteArrayEntity(payload, ContentType.APPLICATION_OCTET_STREAM));
        long deadlineMillis = mTransport.nowMillis() + timeout.toMillis();
        try {
            return mTransport.exchange(
                    mLog, request, deadlineMillis, HttpLogService::readAppendAnswer);
        } catch (ExchangeException e) {
            return e.failure().provesNotRun()
                    ? new AppendResult.Refused(e.getMessage())
                    : new AppendResult.Unknown(e.getMessage());
        }
    }

    private static AppendResult readAppendAnswer(Exchange exchange) throws IOException {
        byte[] body = exchange.wholeBody();
        int status = exchange.status();
        if (status == HttpStatus.SC_TOO_MANY_REQUESTS
                || status == HttpStatus.SC_SERVICE_UNAVAILABLE) {
            return new AppendResult.Refused("The log answered with status " + status);
        }
        if (status != HttpStatus.SC_OK) {
            return new AppendResult.Unknown("The log answered with status " + status);
        }
        return new AppendResult.Appended(Json.longAt(Json.parseObject(body), "offset"));
    }

    @Override
    public Optional<LogPage> read(String stream, long fromOffset, int maxEntries, Duration wait) {
        String path =
                pathOf(stream)
                        + "?from="
                        + fromOffset
                        + "&max="
                        + maxEntries
                        + "&waitMs="
                        + wait.toMillis();
        LogPageDecoder decoder = new LogPageDecoder(fromOffset, maxEntries);
        return mClient.get(mLog, path, wait.plus(READ_MARGIN), decoder::decode);
    }

    private static String pathOf(String stream) {
        return "/streams/" + Paths.encode(stream);
    }
}
