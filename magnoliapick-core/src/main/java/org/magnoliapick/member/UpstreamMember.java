package org.magnoliapick.member;

import java.util.Set;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.TargetKind;
import org.magnoliapick.lib.UpstreamId;

/**
 * An upstream in the view of this instance.
 *
 * @param id its name
 * @param domain its failure domain
 * @param kind whether it is a model engine or a plain service
 * @param targets the models or services that it serves
 * @param host its IP address
 * @param port its TCP port
 * @param state its state
 */
public record UpstreamMember(
        UpstreamId id,
        FailureDomain domain,
        TargetKind kind,
        Set<String> targets,
        String host,
        int port,
        MemberState state) {
    /** Copies the targets. */
    public UpstreamMember {
        targets = Set.copyOf(targets);
    }
}
