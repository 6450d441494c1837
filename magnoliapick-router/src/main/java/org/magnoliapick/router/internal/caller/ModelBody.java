package org.magnoliapick.router.internal.caller;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.hash.Hashing;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.magnoliapick.errors.ErrorKind;

/**
 * What the decisions need of a model request's JSON body; the body itself is passed on as it came.
 *
 * @param model the model
 * @param streamed whether the answer is wanted as a stream
 * @param maxTokens the most tokens that the caller wants
 * @param adapter the adapter that the request names
 * @param prefixHashes hashes of the prompt's prefixes, shortest first
 */
record ModelBody(
        String model,
        boolean streamed,
        OptionalDouble maxTokens,
        Optional<String> adapter,
        List<Long> prefixHashes) {
    /** The characters of a prefix block. */
    static final int BLOCK_CHARS = 64;

    /** The most prefix blocks that are looked at. */
    static final int MAX_BLOCKS = 16;

    private static final ObjectMapper JSON = new ObjectMapper();

    static ModelBody parse(byte[] body) throws CallerRejection {
        JsonNode root = readTree(body);
        JsonNode model = root.path("model");
        if (!model.isTextual() || model.textValue().isBlank()) {
            throw new CallerRejection(ErrorKind.BAD_REQUEST);
        }
        return new ModelBody(
                model.textValue(),
                root.path("stream").asBoolean(false),
                maxTokens(root.path("max_tokens")),
                Optional.ofNullable(root.path("adapter").textValue()),
                prefixHashes(prompt(root)));
    }

    private static JsonNode readTree(byte[] body) throws CallerRejection {
        try {
            JsonNode root = JSON.readTree(body);
            if (root == null || !root.isObject()) {
                throw new CallerRejection(ErrorKind.BAD_REQUEST);
            }
            return root;
        } catch (IOException e) {
            throw new CallerRejection(ErrorKind.BAD_REQUEST);
        }
    }

    private static OptionalDouble maxTokens(JsonNode node) throws CallerRejection {
        if (node.isMissingNode() || node.isNull()) {
            return OptionalDouble.empty();
        }
        if (!node.isIntegralNumber() || node.asLong() < 1) {
            throw new CallerRejection(ErrorKind.BAD_REQUEST);
        }
        return OptionalDouble.of(node.asLong());
    }

    private static String prompt(JsonNode root) {
        StringBuilder prompt = new StringBuilder(root.path("prompt").asText(""));
        for (JsonNode message : root.path("messages")) {
            prompt.append(message.path("content").asText(""));
        }
        return prompt.toString();
    }

    private static List<Long> prefixHashes(String prompt) {
        List<Long> hashes = new ArrayList<>();
        int blocks = Math.min(MAX_BLOCKS, prompt.length() / BLOCK_CHARS);
        for (int block = 1; block <= blocks; block++) {
            String prefix = prompt.substring(0, block * BLOCK_CHARS);
            hashes.add(Hashing.murmur3_128().hashString(prefix, UTF_8).asLong());
        }
        return hashes;
    }
}
