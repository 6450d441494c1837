package org.magnoliapick.pool;

import java.util.List;
import org.magnoliapick.member.Member;

/**
 * What one instance tells another.
 *
 * @param sender who tells
 * @param startedMillis when its life began
 * @param sequence the number of the report in this life
 * @param wantsReply whether the receiver is to tell something back soon
 * @param declinesDispatcherRole whether the sender is not to decide for others, such as when it stops
 * @param pools the sender's use of each service, if the receiver needs it
 * @param knownDigest the digest of the members that the receiver told the sender of last
 * @param listOffset up to which offset of the list of upstreams the sender knows it
 * @param members instances that the sender hears itself; empty where the receiver knows them
 */
public record InstanceReport(
        Member sender,
        long startedMillis,
        long sequence,
        boolean wantsReply,
        boolean declinesDispatcherRole,
        List<PoolUse> pools,
        long knownDigest,
        long listOffset,
        List<Member> members) {
    /** Copies the lists. */
    public InstanceReport {
        pools = List.copyOf(pools);
        members = List.copyOf(members);
    }

    /** Returns whether this report is newer than another of the same instance. */
    public boolean newerThan(InstanceReport other) {
        return startedMillis > other.startedMillis
                || (startedMillis == other.startedMillis && sequence > other.sequence);
    }
}
