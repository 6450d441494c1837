package org.magnoliapick.route;

/**
 * What the operator says of a service's model engines.
 *
 * @param slots how many requests an engine runs at once
 * @param memoryTokens how many tokens its running requests and its cache hold together
 * @param tokensPerEvent how many tokens an event of a stream holds
 */
public record EngineSpec(int slots, long memoryTokens, int tokensPerEvent) {}
