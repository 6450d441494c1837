package org.magnoliapick.route;

/**
 * Configured capacity of the model engines of a service.
 *
 * @param slots maximum number of requests that an engine runs concurrently
 * @param memoryTokens KV memory of an engine in tokens, shared by running requests and the prefix
 *     cache
 * @param tokensPerEvent number of tokens in one event of a streamed response
 */
public record EngineSpec(int slots, long memoryTokens, int tokensPerEvent) {}
