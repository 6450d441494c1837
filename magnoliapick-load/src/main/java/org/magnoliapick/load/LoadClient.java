package org.magnoliapick.load;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.apache.hc.client5.http.ConnectTimeoutException;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.util.Timeout;

/** Sends requests as a caller does, and judges the answers. */
final class LoadClient implements AutoCloseable {
    private static final int MAX_CONNECTIONS = 1_024;
    private static final int READ_BYTES = 8 * 1024;
    private static final long UNREACHABLE_RETRY_MILLIS = 100;
    private static final int ASK_TIMEOUT_MILLIS = 5_000;
    private static final String END_MARK = "data: [DONE]";

    private final CloseableHttpClient mClient;
    private final int mTimeoutMillis;

    LoadClient(int timeoutMillis) {
        mTimeoutMillis = timeoutMillis;
        mClient =
                HttpClients.custom()
                        .setConnectionManager(
                                PoolingHttpClientConnectionManagerBuilder.create()
                                        .setMaxConnPerRoute(MAX_CONNECTIONS)
                                        .setMaxConnTotal(MAX_CONNECTIONS)
                                        .build())
                        .disableAutomaticRetries()
                        .disableCookieManagement()
                        .build();
    }

    /** Sends a request once. */
    Attempt send(HttpHost router, String key, RequestShape shape, String nonce) {
        HttpUriRequestBase request = shape.newRequest(nonce);
        request.setHeader("Authorization", "Bearer " + key);
        request.setHeader("Magnoliapick-Deadline-Ms", mTimeoutMillis);
        // The fleet's own deadline comes first; the margin leaves time for its answer.
        request.setConfig(config(2 * mTimeoutMillis));
        try {
            return mClient.execute(router, request, response -> read(response, shape, nonce));
        } catch (ConnectException | ConnectTimeoutException e) {
            return Attempt.without(
                    Verdict.NOT_RUN, "unreachable", Optional.of(UNREACHABLE_RETRY_MILLIS));
        } catch (IOException e) {
            return Attempt.without(
                    Verdict.LOST, "lost-" + e.getClass().getSimpleName(), Optional.empty());
        }
    }

    private static RequestConfig config(int timeoutMillis) {
        return RequestConfig.custom()
                .setConnectionRequestTimeout(Timeout.ofMilliseconds(timeoutMillis))
                .setResponseTimeout(Timeout.ofMilliseconds(timeoutMillis))
                .build();
    }

    private static Attempt read(ClassicHttpResponse response, RequestShape shape, String nonce)
            throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        long firstByteNanos = 0;
        if (response.getEntity() != null) {
            InputStream in = response.getEntity().getContent();
            byte[] buffer = new byte[READ_BYTES];
            int count = in.read(buffer);
            firstByteNanos = System.nanoTime();
            while (count >= 0) {
                body.write(buffer, 0, count);
                count = in.read(buffer);
            }
        }
        if (response.getCode() >= HttpStatus.SC_REDIRECTION) {
            return refused(response);
        }
        byte[] bytes = body.toByteArray();
        return shape.isStreamed()
                ? readStream(bytes, shape, nonce, firstByteNanos)
                : readWhole(bytes, shape, nonce, firstByteNanos);
    }

    private static Attempt refused(ClassicHttpResponse response) {
        String error =
                header(response, "Magnoliapick-Error").orElse("status-" + response.getCode());
        Optional<Long> retryAfterMillis =
                header(response, "Retry-After").map(seconds -> 1_000 * Long.parseLong(seconds));
        boolean isNotStarted = header(response, "Magnoliapick-Not-Started").isPresent();
        String outcome =
                header(response, "Magnoliapick-Outcome")
                        .orElse(isNotStarted ? "not-run" : "failed");
        Verdict verdict =
                switch (outcome) {
                    case "not-run" -> Verdict.NOT_RUN;
                    case "outcome-unknown" -> Verdict.UNKNOWN;
                    default -> Verdict.FAILED;
                };
        return Attempt.without(verdict, error, retryAfterMillis);
    }

    private static Attempt readStream(
            byte[] body, RequestShape shape, String nonce, long firstByteNanos) {
        String text = new String(body, StandardCharsets.UTF_8).stripTrailing();
        if (text.endsWith(END_MARK)) {
            return readWhole(body, shape, nonce, firstByteNanos);
        }
        boolean isTold = text.contains("event: error") || text.contains("event:error");
        return Attempt.without(
                isTold ? Verdict.FAILED : Verdict.LOST, "stream-broken", Optional.empty());
    }

    private static Attempt readWhole(
            byte[] body, RequestShape shape, String nonce, long firstByteNanos) {
        RequestShape.WholeAnswer answer = shape.read(body);
        if (!answer.nonce().equals(nonce)) {
            return Attempt.without(Verdict.CROSSED, "crossed", Optional.empty());
        }
        return new Attempt(
                Verdict.WHOLE,
                "",
                Optional.empty(),
                firstByteNanos,
                answer.tokens(),
                answer.heldMillis());
    }

    private static Optional<String> header(ClassicHttpResponse response, String name) {
        return Optional.ofNullable(response.getFirstHeader(name)).map(Header::getValue);
    }

    /** Returns the body of a successful answer, or empty. */
    Optional<byte[]> get(HttpHost host, String path) {
        HttpGet request = new HttpGet(path);
        request.setConfig(config(ASK_TIMEOUT_MILLIS));
        try {
            return mClient.execute(
                    host,
                    request,
                    response -> {
                        byte[] body = EntityUtils.toByteArray(response.getEntity());
                        boolean isGood = response.getCode() < HttpStatus.SC_REDIRECTION;
                        return isGood ? Optional.ofNullable(body) : Optional.empty();
                    });
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    @Override
    public void close() throws IOException {
        mClient.close();
    }
}
