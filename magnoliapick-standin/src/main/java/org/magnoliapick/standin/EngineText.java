package org.magnoliapick.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** What an engine stand-in says: a function of the request alone. */
final class EngineText {
    private static final int DEFAULT_TOKENS = 32;
    private static final int MAX_TOKENS = 100_000;
    private static final int CHARS_PER_TOKEN = 4;
    private static final List<String> WORDS =
            List.of(
                    "贈り物 ", "ゆきわり ", "هدية ", "قائمة ", "card ", "wool ", "茶器 ", "سبورة ", "chalk ",
                    "抹茶 ", "قهوة ", "café ", "町内会 ", "خط ", "menu ");

    private final JsonNode mRequest;
    private final boolean mIsChat;
    private final String mPrompt;

    EngineText(JsonNode request, boolean isChat) {
        mRequest = request;
        mIsChat = isChat;
        mPrompt = isChat ? promptOf(request.path("messages")) : request.path("prompt").asText();
    }

    private static String promptOf(JsonNode messages) {
        StringBuilder prompt = new StringBuilder();
        for (JsonNode message : messages) {
            prompt.append(message.path("role").asText()).append(':');
            prompt.append(message.path("content").asText()).append('\n');
        }
        return prompt.toString();
    }

    String prompt() {
        return mPrompt;
    }

    String model() {
        return mRequest.path("model").asText();
    }

    boolean isStream() {
        return mRequest.path("stream").asBoolean();
    }

    long promptTokens() {
        return tokensOfBytes(mPrompt.length());
    }

    static long tokensOfBytes(int bytes) {
        return (bytes + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN;
    }

    /** Returns the tokens of the answer; the last one holds the request's own nonce. */
    List<String> tokens() {
        int count = mRequest.path("max_tokens").asInt(DEFAULT_TOKENS);
        int bounded = Math.max(1, Math.min(count, MAX_TOKENS));
        List<String> tokens = new ArrayList<>(bounded);
        int first = Math.floorMod(mPrompt.hashCode(), WORDS.size());
        for (int i = 0; i < bounded - 1; i++) {
            tokens.add(WORDS.get((first + i) % WORDS.size()));
        }
        tokens.add(Nonces.find(lastMessage()).map(nonce -> "[" + nonce + "]").orElse("."));
        return tokens;
    }

    private String lastMessage() {
        JsonNode messages = mRequest.path("messages");
        return mIsChat ? messages.path(messages.size() - 1).path("content").asText() : mPrompt;
    }

    /** Returns the whole answer. */
    ObjectNode whole(String id, List<String> tokens) {
        ObjectNode node = head(id, mIsChat ? "chat.completion" : "text_completion");
        ObjectNode choice = node.putArray("choices").addObject();
        choice.put("index", 0);
        String text = String.join("", tokens);
        if (mIsChat) {
            choice.putObject("message").put("role", "assistant").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", "stop");
        putUsage(node, tokens.size());
        return node;
    }

    /** Returns the chunks of a streamed answer; the last one has the usage and no choice. */
    List<ObjectNode> chunks(String id, List<String> tokens) {
        List<ObjectNode> chunks = new ArrayList<>(tokens.size() + 2);
        tokens.forEach(token -> chunks.add(chunk(id, token, false)));
        chunks.add(chunk(id, "", true));
        ObjectNode last = head(id, chunkType());
        last.putArray("choices");
        putUsage(last, tokens.size());
        chunks.add(last);
        return chunks;
    }

    private String chunkType() {
        return mIsChat ? "chat.completion.chunk" : "text_completion";
    }

    private ObjectNode chunk(String id, String token, boolean isStop) {
        ObjectNode node = head(id, chunkType());
        ObjectNode choice = node.putArray("choices").addObject();
        choice.put("index", 0);
        if (!mIsChat) {
            choice.put("text", token);
        } else if (isStop) {
            choice.putObject("delta");
        } else {
            choice.putObject("delta").put("content", token);
        }
        choice.put("finish_reason", isStop ? "stop" : null);
        return node;
    }

    private ObjectNode head(String id, String type) {
        ObjectNode node = Call.MAPPER.createObjectNode();
        node.put("id", id);
        node.put("object", type);
        node.put("model", model());
        return node;
    }

    private void putUsage(ObjectNode node, int outputTokens) {
        ObjectNode usage = node.putObject("usage");
        usage.put("prompt_tokens", promptTokens());
        usage.put("completion_tokens", outputTokens);
        usage.put("total_tokens", promptTokens() + outputTokens);
    }

    static Map<String, Object> error(String message) {
        return Map.of("error", Map.of("message", message));
    }
}
