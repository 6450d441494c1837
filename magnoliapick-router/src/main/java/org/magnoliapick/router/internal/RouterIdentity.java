package org.magnoliapick.router.internal;

import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;

/**
 * Who this process is.
 *
 * @param id its instance
 * @param incarnation the start of this process in milliseconds since the epoch
 * @param domain its failure domain
 * @param host its IP number
 * @param callerPort the TCP port for callers
 */
public record RouterIdentity(
        InstanceId id, long incarnation, FailureDomain domain, String host, int callerPort) {}
