package org.magnoliapick.relay;

import java.util.List;

/**
 * What a request for a model engine says of its size.
 *
 * @param promptTokens the length of the prompt in tokens
 * @param maxOutputTokens the most tokens that the engine may generate
 * @param parts the parts of the prompt in order; the last one is the request's or session's own
 */
public record Prompt(int promptTokens, int maxOutputTokens, List<PromptPart> parts) {
    /** A request that says nothing of its size. */
    public static final Prompt UNKNOWN = new Prompt(0, 0, List.of());

    /** Copies the parts. */
    public Prompt {
        parts = List.copyOf(parts);
    }

    /** Returns the length of the parts that other prompts may share: all but the last. */
    public long sharedTokens() {
        return parts.stream()
                .limit(Math.max(0, parts.size() - 1))
                .mapToLong(PromptPart::tokens)
                .sum();
    }

    /** Returns the tokens as shares count them: once read, twice generated. */
    public long costTokens() {
        return promptTokens + 2L * maxOutputTokens;
    }
}
