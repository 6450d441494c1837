package org.magnoliapick.ports.internal;

import java.io.IOException;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.LongSupplier;
import org.apache.hc.client5.http.classic.ExecChain;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.ChainElement;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManager;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.client5.http.protocol.HttpClientContext;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.magnoliapick.ports.AttemptFailure;
import org.magnoliapick.ports.Endpoint;
import org.magnoliapick.ports.PlatformSettings;

/** Makes single HTTP exchanges with a deadline each, over one bounded pool of connections. */
final class HttpTransport implements AutoCloseable {
    private static final String CONNECTED = "magnoliapick.connected";
    private static final long VALIDATE_AFTER_IDLE_MILLIS = 100;
    private static final long MAX_IDLE_SECONDS = 10;

    private final PlatformSettings mSettings;
    private final LongSupplier mNowMillis;
    private final PoolingHttpClientConnectionManager mPool;
    private final CloseableHttpClient mClient;
    private final DeadlineTimer mTimer = new DeadlineTimer();

    HttpTransport(PlatformSettings settings, LongSupplier nowMillis) {
        mSettings = settings;
        mNowMillis = nowMillis;
        mPool = newPool(settings);
        mClient = newClient(mPool);
    }

    private static PoolingHttpClientConnectionManager newPool(PlatformSettings settings) {
        ConnectionConfig connection =
                ConnectionConfig.custom()
                        .setConnectTimeout(Timeout.ofMilliseconds(settings.connectTimeoutMillis()))
                        .setValidateAfterInactivity(
                                TimeValue.ofMilliseconds(VALIDATE_AFTER_IDLE_MILLIS))
                        .build();
        return PoolingHttpClientConnectionManagerBuilder.create()
                .setDefaultConnectionConfig(connection)
                .setMaxConnPerRoute(settings.maxConnectionsPerEndpoint())
                .setMaxConnTotal(settings.maxConnections())
                .build();
    }

    private static CloseableHttpClient newClient(PoolingHttpClientConnectionManager pool) {
        // Whether an attempt may be repeated is the caller's decision, never the client's.
        return HttpClients.custom()
                .setConnectionManager(pool)
                .disableAutomaticRetries()
                .disableRedirectHandling()
                .disableCookieManagement()
                .disableAuthCaching()
                .disableContentCompression()
                .disableDefaultUserAgent()
                .evictIdleConnections(TimeValue.ofSeconds(MAX_IDLE_SECONDS))
                .addExecInterceptorBefore(
                        ChainElement.MAIN_TRANSPORT.name(),
                        "connected",
                        HttpTransport::noteConnected)
                .build();
    }

    private static ClassicHttpResponse noteConnected(
            ClassicHttpRequest request, ExecChain.Scope scope, ExecChain chain)
            throws IOException, HttpException {
        scope.clientContext.setAttribute(CONNECTED, Boolean.TRUE);
        return chain.proceed(request, scope);
    }

    PlatformSettings settings() {
        return mSettings;
    }

    long nowMillis() {
        return mNowMillis.getAsLong();
    }

    /**
     * Makes one exchange.
     *
     * @param deadlineMillis when to give up, in milliseconds since the epoch
     * @throws ExchangeException telling what is known of the attempt
     */
    <T> T exchange(
            Endpoint endpoint, HttpUriRequestBase request, long deadlineMillis, Reader<T> reader)
            throws ExchangeException {
        long remainingMillis = deadlineMillis - nowMillis();
        if (remainingMillis <= 0) {
            throw new ExchangeException(AttemptFailure.NOT_SENT, "The deadline had passed");
        }
        request.setConfig(requestConfig(remainingMillis));
        DeadlineTimer.Alarm alarm = startAlarm(remainingMillis, request);
        try {
            return exchange(endpoint, request, alarm, reader);
        } finally {
            alarm.stop();
        }
    }

    private DeadlineTimer.Alarm startAlarm(long remainingMillis, HttpUriRequestBase request)
            throws ExchangeException {
        try {
            return mTimer.start(remainingMillis, request::cancel);
        } catch (RejectedExecutionException e) {
            throw new ExchangeException(AttemptFailure.NOT_SENT, "The transport is closed");
        }
    }

    private <T> T exchange(
            Endpoint endpoint,
            HttpUriRequestBase request,
            DeadlineTimer.Alarm alarm,
            Reader<T> reader)
            throws ExchangeException {
        HttpHost host = new HttpHost("http", endpoint.host(), endpoint.port());
        HttpClientContext context = HttpClientContext.create();
        ClassicHttpResponse response;
        try {
            response = mClient.executeOpen(host, request, context);
        } catch (IOException e) {
            throw new ExchangeException(failureBeforeHead(context, alarm), e);
        } catch (IllegalStateException e) {
            throw new ExchangeException(
                    failureBeforeHead(context, alarm), new IOException("Transport closed", e));
        }
        return read(response, request, alarm, reader);
    }

    private <T> T read(
            ClassicHttpResponse response,
            HttpUriRequestBase request,
            DeadlineTimer.Alarm alarm,
            Reader<T> reader)
            throws ExchangeException {
        boolean isWhole = false;
        try {
            T result = reader.read(new Exchange(response, alarm, mSettings.maxAnswerBytes()));
            isWhole = true;
            return result;
        } catch (ExchangeException e) {
            throw e;
        } catch (IOException e) {
            throw new ExchangeException(
                    alarm.rang() ? AttemptFailure.TIMEOUT : AttemptFailure.CUT, e);
        } finally {
            if (!isWhole) {
                // Closing alone would first read the rest of the answer.
                request.cancel();
            }
            closeQuietly(response);
        }
    }

    private static AttemptFailure failureBeforeHead(
            HttpClientContext context, DeadlineTimer.Alarm alarm) {
        if (context.getAttribute(CONNECTED) == null) {
            return AttemptFailure.NOT_SENT;
        }
        return alarm.rang() ? AttemptFailure.TIMEOUT : AttemptFailure.LOST_BEFORE_HEAD;
    }

    private static RequestConfig requestConfig(long remainingMillis) {
        // The alarm cancels at the deadline; the timeouts only bound single waits.
        Timeout remaining = Timeout.ofMilliseconds(remainingMillis);
        return RequestConfig.custom()
                .setConnectionRequestTimeout(remaining)
                .setResponseTimeout(Timeout.DISABLED)
                .build();
    }

    private static void closeQuietly(ClassicHttpResponse response) {
        try {
            response.close();
        } catch (IOException e) {
            // The connection is given up either way.
        }
    }

    @Override
    public void close() {
        mTimer.close();
        mClient.close(CloseMode.IMMEDIATE);
        mPool.close(CloseMode.IMMEDIATE);
    }

    /** Reads an answer from its head on. */
    interface Reader<T> {
        /** Reads the answer. */
        T read(Exchange exchange) throws IOException;
    }
}
