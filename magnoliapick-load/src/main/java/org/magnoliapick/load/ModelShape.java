package org.magnoliapick.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.apache.hc.client5.http.classic.methods.HttpPost;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;

/**
 * A call of a model.
 *
 * @param model the model
 * @param requestClass the class inside the workspace
 * @param isStreamed whether the answer is streamed
 * @param isChat whether it is a chat or a text completion
 * @param maxTokens tokens of the answer
 */
record ModelShape(
        String model, String requestClass, boolean isStreamed, boolean isChat, int maxTokens)
        implements RequestShape {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final WholeAnswer NOTHING = new WholeAnswer("", 0, 0);

    @Override
    public HttpUriRequestBase newRequest(String nonce) {
        String prompt = "予算は三千円。اكتب قائمة قصيرة. nonce=" + nonce;
        ObjectNode body = MAPPER.createObjectNode();
        body.put("model", model);
        body.put("stream", isStreamed);
        body.put("max_tokens", maxTokens);
        if (isChat) {
            ObjectNode message = body.putArray("messages").addObject();
            message.put("role", "user");
            message.put("content", prompt);
        } else {
            body.put("prompt", prompt);
        }
        HttpPost request = new HttpPost(isChat ? "/v1/chat/completions" : "/v1/completions");
        request.setHeader("Magnoliapick-Class", requestClass);
        byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        request.setEntity(new ByteArrayEntity(bytes, ContentType.APPLICATION_JSON));
        return request;
    }

    @Override
    public boolean mustRunOnce() {
        return false;
    }

    @Override
    public WholeAnswer read(byte[] body) {
        try {
            return isStreamed ? readEvents(body) : readWhole(body);
        } catch (IOException e) {
            return NOTHING;
        }
    }

    private static WholeAnswer readWhole(byte[] body) throws IOException {
        JsonNode node = MAPPER.readTree(body);
        JsonNode choice = node.path("choices").path(0);
        String content = choice.path("message").path("content").asText();
        return answer(content.isEmpty() ? choice.path("text").asText() : content, node);
    }

    private static WholeAnswer readEvents(byte[] body) throws IOException {
        StringBuilder text = new StringBuilder();
        JsonNode last = MAPPER.missingNode();
        for (String line : new String(body, StandardCharsets.UTF_8).split("\n")) {
            if (line.startsWith("data:") && !line.contains("[DONE]")) {
                last = MAPPER.readTree(line.substring("data:".length()));
                JsonNode choice = last.path("choices").path(0);
                text.append(choice.path("delta").path("content").asText());
                text.append(choice.path("text").asText());
            }
        }
        return answer(text.toString(), last);
    }

    private static WholeAnswer answer(String text, JsonNode withUsage) {
        int start = text.lastIndexOf('[');
        boolean hasNonce = start >= 0 && text.endsWith("]");
        String nonce = hasNonce ? text.substring(start + 1, text.length() - 1) : "";
        return new WholeAnswer(nonce, withUsage.path("usage").path("total_tokens").asLong(), 0);
    }
}
