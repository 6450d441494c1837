package org.magnoliapick.route;

import java.util.List;
import java.util.Optional;

/**
 * Maps requests for a host and path prefix to services, and defines how they are relayed.
 *
 * @param name the route's name in the configuration
 * @param host the Host header value to match, in lower case and without a port
 * @param pathPrefix the path prefix to match, starting and ending with a slash
 * @param kind how requests may be retried and whether responses are streamed
 * @param timeoutMillis maximum time from the arrival of a request to its complete response
 * @param objectiveMillis latency objective for the response, or for the first event of a stream
 * @param gapObjectiveMillis objective for the longest gap between two events of a stream
 * @param priority the priority of the route's requests; lower values go first and 0 is the highest
 * @param services the services that its requests are split over, by weight
 * @param maxAttempts maximum number of attempts that may run at an upstream for one request; an
 *     attempt that provably did not run does not count
 * @param isPublic whether requests are accepted without an API key
 * @param resumable whether an interrupted stream may be resumed at another upstream
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        long timeoutMillis,
        long objectiveMillis,
        long gapObjectiveMillis,
        int priority,
        List<WeightedService> services,
        int maxAttempts,
        boolean isPublic,
        boolean resumable) {
    /** Creates a route; the list of services is copied. */
    public Route {
        services = List.copyOf(services);
    }

    /** Returns whether a request that may have run can be sent to another upstream. */
    public boolean retryable() {
        return kind.idempotent() || (kind.streamed() && resumable);
    }

    /**
     * Returns the service for a request, chosen by weight from a hash of the request identifier, so
     * that the same identifier always maps to the same service. If the weights sum to zero, returns
     * the first service.
     */
    public Optional<String> serviceFor(String requestId) {
        long total = services.stream().mapToLong(WeightedService::weight).sum();
        if (total <= 0) {
            return services.stream().findFirst().map(WeightedService::service);
        }
        long point = Math.floorMod((long) mixedHash(requestId), total);
        for (WeightedService each : services) {
            point -= each.weight();
            if (point < 0) {
                return Optional.of(each.service());
            }
        }
        return Optional.empty();
    }

    /**
     * Mixes the bits of {@link String#hashCode}, whose low bits are not evenly distributed, by
     * Fibonacci hashing: the factor is 2^32 divided by the golden ratio.
     */
    private static int mixedHash(String text) {
        int hash = text.hashCode() * 0x9E3779B9;
        return hash ^ (hash >>> 15);
    }
}
