package org.magnoliapick.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.stream.Collectors;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;

/**
 * A call of a plain service.
 *
 * @param service the service
 * @param method the HTTP method
 * @param path the path behind the service's name
 */
record ServiceShape(String service, String method, String path) implements RequestShape {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Override
    public HttpUriRequestBase newRequest(String nonce) {
        String fullPath = "/services/" + service + encode(path);
        if (!mustRunOnce()) {
            HttpUriRequestBase request =
                    new HttpUriRequestBase(method, URI.create(fullPath + "?nonce=" + nonce));
            request.setHeader("Magnoliapick-Class", "urgent");
            return request;
        }
        HttpUriRequestBase request = new HttpUriRequestBase(method, URI.create(fullPath));
        request.setHeader("Magnoliapick-Class", "urgent");
        request.setHeader("Idempotency-Key", "key-" + nonce);
        byte[] body =
                ("{\"giver\":\"花子\",\"client\":\"مقهى\",\"mark\":\"nonce=" + nonce + "\"}")
                        .getBytes(StandardCharsets.UTF_8);
        request.setEntity(new ByteArrayEntity(body, ContentType.APPLICATION_JSON));
        return request;
    }

    private static String encode(String path) {
        return Arrays.stream(path.split("/"))
                .map(part -> URLEncoder.encode(part, StandardCharsets.UTF_8))
                .collect(Collectors.joining("/"));
    }

    @Override
    public boolean mustRunOnce() {
        return method.equals("POST");
    }

    @Override
    public boolean isStreamed() {
        return false;
    }

    @Override
    public WholeAnswer read(byte[] body) {
        try {
            JsonNode node = MAPPER.readTree(body);
            return new WholeAnswer(
                    node.path("nonce").asText(), 0, node.path("heldMillis").asLong());
        } catch (IOException e) {
            return new WholeAnswer("", 0, 0);
        }
    }
}
