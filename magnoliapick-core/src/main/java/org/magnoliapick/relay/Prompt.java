package org.magnoliapick.relay;

import java.util.List;
import java.util.stream.Collectors;

/**
 * The size that a request for a model engine states.
 *
 * @param promptTokens the length of the prompt in tokens
 * @param maxOutputTokens the maximum number of tokens that the engine may generate
 * @param parts the parts of the prompt in order; the last one is the request's or session's own
 */
public record Prompt(int promptTokens, int maxOutputTokens, List<PromptPart> parts) {
    /** The prompt of a request that states no size. */
    public static final Prompt UNKNOWN = new Prompt(0, 0, List.of());

    /** Copies the parts. */
    public Prompt {
        parts = List.copyOf(parts);
    }

    /** Returns the parts that other prompts may share: all but the last. */
    public List<PromptPart> sharedParts() {
        return parts.subList(0, Math.max(0, parts.size() - 1));
    }

    /** Returns the length in tokens of the parts that other prompts may share. */
    public long sharedTokens() {
        return sharedParts().stream().mapToLong(PromptPart::tokens).sum();
    }

    /** Returns the identifiers of the parts in order, for log lines. */
    public String describeParts() {
        return parts.stream().map(PromptPart::id).collect(Collectors.joining(" "));
    }

    /**
     * Returns the cost in tokens that counts towards a workspace's share: a token costs one in
     * prefill and two when generated.
     */
    public long costTokens() {
        return promptTokens + 2L * maxOutputTokens;
    }
}
