package org.magnoliapick.pgm.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.apache.hc.client5.http.ConnectTimeoutException;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.net.URIBuilder;
import org.apache.hc.core5.util.Timeout;

/** Calls the administration API at the first router that answers. */
final class RouterClient {
    private static final String BASE = "/admin/v1/";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final CtlSettings mSettings;

    RouterClient(CtlSettings settings) {
        mSettings = settings;
    }

    /**
     * A call of the API.
     *
     * @param method the HTTP method
     * @param path the path below the API's base
     * @param params the query parameters
     * @param headers the HTTP headers
     * @param body the JSON body, if any
     */
    record Call(
            String method,
            String path,
            Map<String, String> params,
            Map<String, String> headers,
            Optional<JsonNode> body) {
        static Call get(String path) {
            return new Call("GET", path, Map.of(), Map.of(), Optional.empty());
        }

        Call with(String name, String value) {
            Map<String, String> more = new TreeMap<>(params);
            more.put(name, value);
            return new Call(method, path, more, headers, body);
        }

        Call withHeader(String name, String value) {
            Map<String, String> more = new TreeMap<>(headers);
            more.put(name, value);
            return new Call(method, path, params, more, body);
        }

        boolean isChange() {
            return !method.equals("GET");
        }
    }

    /**
     * What a router answered.
     *
     * @param status the HTTP status
     * @param tag the version of what was read; empty if none was given
     * @param body the JSON body; null node if there is none
     */
    record Answer(int status, String tag, JsonNode body) {
        private static final int FIRST_ERROR_STATUS = 400;

        boolean isError() {
            return status >= FIRST_ERROR_STATUS;
        }

        String error() {
            return body.path("error").asText();
        }
    }

    /**
     * Calls one router after the other until one answers. A change carries a token, so that a
     * router that hears of it a second time does not apply it again.
     *
     * @throws PgmException if none answers
     */
    Answer call(Call call) {
        List<String> failures = new ArrayList<>();
        boolean mayHaveArrived = false;
        try (CloseableHttpClient client = client()) {
            for (String router : mSettings.routers()) {
                try {
                    return call(client, router, call);
                } catch (IOException e) {
                    mayHaveArrived |= !isConnectFailure(e);
                    failures.add(router + ": " + e.getMessage());
                }
            }
        } catch (IOException e) {
            failures.add(e.getMessage());
        }
        if (call.isChange() && mayHaveArrived) {
            String text = PgmText.get("answerLost", call.params().getOrDefault("token", ""));
            throw new PgmException(ExitCode.UNKNOWN, text);
        }
        String text = PgmText.get("noRouterReached", String.join("; ", failures));
        throw new PgmException(ExitCode.UNREACHABLE, text);
    }

    private static boolean isConnectFailure(IOException e) {
        return e instanceof ConnectException
                || e instanceof ConnectTimeoutException
                || e instanceof NoRouteToHostException;
    }

    private Answer call(CloseableHttpClient client, String router, Call call) throws IOException {
        HttpUriRequestBase request = new HttpUriRequestBase(call.method(), uri(router, call));
        request.setHeader("Authorization", "Bearer " + mSettings.key());
        call.headers().forEach(request::setHeader);
        call.body()
                .ifPresent(
                        it ->
                                request.setEntity(
                                        new StringEntity(
                                                it.toString(), ContentType.APPLICATION_JSON)));
        return client.execute(request, RouterClient::answer);
    }

    private static Answer answer(ClassicHttpResponse response) throws IOException {
        String tag =
                response.containsHeader("ETag") ? response.getFirstHeader("ETag").getValue() : "";
        try {
            String text =
                    response.getEntity() == null ? "" : EntityUtils.toString(response.getEntity());
            JsonNode body =
                    text.isBlank() ? JsonNodeFactory.instance.nullNode() : MAPPER.readTree(text);
            return new Answer(response.getCode(), tag, body);
        } catch (ParseException e) {
            throw new IOException("The answer cannot be read", e);
        }
    }

    private static URI uri(String router, Call call) throws IOException {
        try {
            URIBuilder builder = new URIBuilder("http://" + router).setPath(BASE + call.path());
            call.params().forEach(builder::addParameter);
            return builder.build();
        } catch (URISyntaxException e) {
            throw new IOException(e);
        }
    }

    private CloseableHttpClient client() {
        Timeout timeout = Timeout.ofMilliseconds(mSettings.timeoutMillis());
        ConnectionConfig connection =
                ConnectionConfig.custom()
                        .setConnectTimeout(timeout)
                        .setSocketTimeout(timeout)
                        .build();
        return HttpClients.custom()
                .disableAutomaticRetries()
                .disableRedirectHandling()
                .setDefaultRequestConfig(RequestConfig.custom().setResponseTimeout(timeout).build())
                .setConnectionManager(
                        PoolingHttpClientConnectionManagerBuilder.create()
                                .setDefaultConnectionConfig(connection)
                                .build())
                .build();
    }
}
