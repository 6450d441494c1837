package org.magnoliapick.route;

import java.util.List;
import java.util.Optional;

/**
 * A rule that leads requests of a host and path prefix to services.
 *
 * @param name the operator's name for it
 * @param host the host that requests name, in lower case
 * @param pathPrefix the prefix of their paths, from slash to slash
 * @param kind what its requests allow
 * @param timeoutMillis how long a request may be kept waiting for its whole answer
 * @param objectiveMillis how long the answer (of streams: the first event) may take to be on time
 * @param gapObjectiveMillis the longest pause between events for a stream to be on time
 * @param priority the rank, 0 is the highest
 * @param services where its requests go
 * @param maxAttempts at how many upstreams one request may run
 * @param isPublic whether it asks for no key
 * @param resumable whether a stream may go on at another upstream
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
    /** Copies the list of services. */
    public Route {
        services = List.copyOf(services);
    }

    /** Returns whether a request may run again at another upstream. */
    public boolean retryable() {
        return kind.idempotent() || (kind.streamed() && resumable);
    }

    /** Returns the service of one request, spread over the services by their weights. */
    public Optional<String> serviceFor(String requestId) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        if (total <= 0) {
            return services.stream().findFirst().map(WeightedService::service);
        }
        int point = Math.floorMod(spread(requestId), total);
        for (WeightedService each : services) {
            point -= each.weight();
            if (point < 0) {
                return Optional.of(each.service());
            }
        }
        return Optional.empty();
    }

    /** Returns a hash whose low digits are evenly spread, unlike those of a string's own hash. */
    private static int spread(String text) {
        int hash = text.hashCode() * 0x9E3779B9;
        return hash ^ (hash >>> 15);
    }
}
