package org.magnoliapick.bench.driver;

import java.util.OptionalDouble;

/**
 * What the policy cost in control traffic.
 *
 * @param messagesPerRequest messages for each request that ended whole
 * @param bytesPerRequest bytes for each request that ended whole; empty where not measured
 * @param messagesPerNodeSecond messages sent and received by the busiest node, a second
 * @param bytesPerNodeSecond bytes sent and received by the busiest node, a second
 */
public record ControlCost(
        double messagesPerRequest,
        OptionalDouble bytesPerRequest,
        double messagesPerNodeSecond,
        OptionalDouble bytesPerNodeSecond) {}
