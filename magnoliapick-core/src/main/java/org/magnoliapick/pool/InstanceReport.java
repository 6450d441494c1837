package org.magnoliapick.pool;

import java.util.List;
import java.util.Map;
import org.magnoliapick.member.Member;
import org.magnoliapick.member.StorePosition;
import org.magnoliapick.member.UpdateSubject;

/**
 * A report from one instance to another on its use of upstreams and on the members it knows.
 *
 * @param sender the sender
 * @param startedMillis when the sender's incarnation started
 * @param sequence the sequence number of the report within the incarnation
 * @param wantsReply whether the receiver should reply soon
 * @param declinesDispatcherRole whether the sender must not decide for others, for example because
 *     it is stopping
 * @param pools the sender's use of each service, if the receiver needs it
 * @param knownDigest the digest of the members that the sender last received from the receiver
 * @param storePosition up to where the sender knows the store's logs
 * @param knownVersions the versions up to which the sender knows the receiver's updates on each
 *     subject
 * @param members the instances from which the sender receives messages itself; empty if the
 *     receiver knows them
 */
public record InstanceReport(
        Member sender,
        long startedMillis,
        long sequence,
        boolean wantsReply,
        boolean declinesDispatcherRole,
        List<PoolUse> pools,
        long knownDigest,
        StorePosition storePosition,
        Map<UpdateSubject, Long> knownVersions,
        List<Member> members) {
    /** Copies the collections. */
    public InstanceReport {
        pools = List.copyOf(pools);
        knownVersions = Map.copyOf(knownVersions);
        members = List.copyOf(members);
    }

    /** Returns whether this report is newer than another of the same instance. */
    public boolean newerThan(InstanceReport other) {
        return startedMillis > other.startedMillis
                || (startedMillis == other.startedMillis && sequence > other.sequence);
    }
}
