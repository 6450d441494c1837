package org.magnoliapick.relay;

/**
 * A part of a prompt that other prompts may share.
 *
 * @param id the identifier of the part's content
 * @param tokens its length in tokens
 */
public record PromptPart(String id, int tokens) {}
