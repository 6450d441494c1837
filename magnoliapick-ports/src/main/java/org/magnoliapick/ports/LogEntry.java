package org.magnoliapick.ports;

/**
 * An entry read from a stream of the log.
 *
 * @param offset its place in the stream
 * @param appendedAtMillis when the log took it, in milliseconds since the epoch by the log's clock
 * @param payload its content
 */
public record LogEntry(long offset, long appendedAtMillis, byte[] payload) {}
