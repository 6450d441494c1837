package org.magnoliapick.ports;

/**
 * Where the platform's services are, and the bounds of every call to them and to upstreams.
 *
 * @param log the log service
 * @param instanceList the instance list
 * @param weightStore the weight store
 * @param connectTimeoutMillis how long a connection may take to be made
 * @param maxConnectionsPerEndpoint the most connections to one endpoint at a time
 * @param maxConnections the most connections in all
 * @param maxAnswerBytes the largest body that is taken whole
 * @param maxEventBytes the largest single event of a stream
 */
public record PlatformSettings(
        Endpoint log,
        Endpoint instanceList,
        Endpoint weightStore,
        int connectTimeoutMillis,
        int maxConnectionsPerEndpoint,
        int maxConnections,
        int maxAnswerBytes,
        int maxEventBytes) {
    /** How long a connection may take to be made, in milliseconds. */
    public static final int DEFAULT_CONNECT_TIMEOUT_MILLIS = 1_000;

    /** The most connections to one endpoint. */
    public static final int DEFAULT_MAX_CONNECTIONS_PER_ENDPOINT = 256;

    /** The most connections in all. */
    public static final int DEFAULT_MAX_CONNECTIONS = 2_048;

    /** The largest body, in bytes. */
    public static final int DEFAULT_MAX_ANSWER_BYTES = 8 * 1024 * 1024;

    /** The largest event of a stream, in bytes. */
    public static final int DEFAULT_MAX_EVENT_BYTES = 256 * 1024;

    /** Checks that every bound is positive. */
    public PlatformSettings {
        requirePositive("connectTimeoutMillis", connectTimeoutMillis);
        requirePositive("maxConnectionsPerEndpoint", maxConnectionsPerEndpoint);
        requirePositive("maxConnections", maxConnections);
        requirePositive("maxAnswerBytes", maxAnswerBytes);
        requirePositive("maxEventBytes", maxEventBytes);
    }

    /** Returns settings with the default bounds. */
    public static PlatformSettings of(Endpoint log, Endpoint instanceList, Endpoint weightStore) {
        return new PlatformSettings(
                log,
                instanceList,
                weightStore,
                DEFAULT_CONNECT_TIMEOUT_MILLIS,
                DEFAULT_MAX_CONNECTIONS_PER_ENDPOINT,
                DEFAULT_MAX_CONNECTIONS,
                DEFAULT_MAX_ANSWER_BYTES,
                DEFAULT_MAX_EVENT_BYTES);
    }

    private static void requirePositive(String name, int value) {
        if (value <= 0) {
            throw new IllegalArgumentException(name + " must be positive, got " + value);
        }
    }
}
