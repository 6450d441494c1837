package org.magnoliapick.member;

import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;

/**
 * An entry instance in the view of this instance.
 *
 * @param id its name
 * @param incarnation the start of its process in milliseconds since the epoch; 0 while unknown
 * @param domain its failure domain
 * @param host the IP address that its peers connect to
 * @param peerPort the TCP port of its peer service
 * @param state its state
 */
public record RouterMember(
        InstanceId id,
        long incarnation,
        FailureDomain domain,
        String host,
        int peerPort,
        MemberState state) {}
