package org.magnoliapick.bench.scenario;

import java.util.List;

/**
 * A fault.
 *
 * @param kind what happens
 * @param atSeconds when it starts, in seconds from the start of the run
 * @param untilSeconds when it ends, in seconds from the start of the run
 * @param domains the failure domains on one side of a partition
 * @param router the entry instance that is lost, or {@value #BUSIEST} for the one that has received
 *     the most control messages, which is a dispatcher where a policy has one
 * @param upstream the upstream that leaves
 */
public record Fault(
        Kind kind,
        double atSeconds,
        double untilSeconds,
        List<String> domains,
        String router,
        String upstream) {
    /** Stands for the entry instance that has received the most control messages. */
    public static final String BUSIEST = "busiest";

    /** What happens. */
    public enum Kind {
        /** No message passes between the failure domains named and the others. */
        PARTITION,
        /** An entry instance is lost and comes back without memory. */
        ROUTER_LOST,
        /** An upstream finishes what it has and goes. */
        UPSTREAM_LEAVES,
        /** An upstream stops answering and comes back. */
        UPSTREAM_LOST
    }

    /** Copies the domains. */
    public Fault {
        domains = domains == null ? List.of() : List.copyOf(domains);
    }

    /** Describes the fault in one word and its times. */
    public String label() {
        return kind.name().toLowerCase(java.util.Locale.ROOT) + "@" + Math.round(atSeconds) + "s";
    }
}
