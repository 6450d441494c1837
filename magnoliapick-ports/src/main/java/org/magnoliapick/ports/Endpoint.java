package org.magnoliapick.ports;

/**
 * Where a process listens.
 *
 * @param host an IP number
 * @param port a TCP port
 */
public record Endpoint(String host, int port) {}
