package org.magnoliapick.ports;

import java.util.Set;

/**
 * An entry of the platform's instance list.
 *
 * @param name its name
 * @param role what it is
 * @param domain its failure domain
 * @param host its IP number
 * @param port the TCP port that serves callers
 * @param peerPort the TCP port of the peer service of a router; 0 for an upstream
 * @param targets the models or services that an upstream serves; empty for a router
 * @param leaving whether it was told to leave
 */
public record ListedMember(
        String name,
        Role role,
        String domain,
        String host,
        int port,
        int peerPort,
        Set<String> targets,
        boolean leaving) {
    /** What a listed member is. */
    public enum Role {
        /** An entry instance. */
        ROUTER,
        /** A model engine. */
        MODEL_ENGINE,
        /** A plain service. */
        PLAIN_SERVICE
    }

    /** Copies the targets. */
    public ListedMember {
        targets = Set.copyOf(targets);
    }
}
