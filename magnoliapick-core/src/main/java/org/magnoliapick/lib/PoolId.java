package org.magnoliapick.lib;

import java.util.Comparator;
import java.util.Objects;

/**
 * The identifier of a pool: the upstreams of one failure domain that serve one target.
 *
 * @param domain the failure domain of the upstreams
 * @param target the model or plain service that they serve
 */
public record PoolId(FailureDomain domain, String target) implements Comparable<PoolId> {
    private static final Comparator<PoolId> ORDER =
            Comparator.comparing(PoolId::domain).thenComparing(PoolId::target);

    public PoolId {
        Objects.requireNonNull(domain, "domain");
        Objects.requireNonNull(target, "target");
    }

    @Override
    public int compareTo(PoolId other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return domain + "/" + target;
    }
}
