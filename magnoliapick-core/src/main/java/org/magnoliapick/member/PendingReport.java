package org.magnoliapick.member;

/**
 * A report that is due to be sent to one instance.
 *
 * @param address the receiver's address
 * @param content the upstream use that the report carries
 * @param wantsReply whether the receiver is to reply soon
 * @param isReply whether the report also carries the members and store updates that the receiver
 *     may lack
 */
public record PendingReport(String address, Content content, boolean wantsReply, boolean isReply) {
    /** The upstream use that a report carries. */
    public enum Content {
        /** No use. */
        NOTHING,
        /** The sender's own use of the upstreams, sent to its dispatcher. */
        OWN_USE,
        /** The total use of all instances in the sender's cell, sent to dispatchers of others. */
        WHOLE_USE
    }

    static PendingReport probe(String address) {
        return new PendingReport(address, Content.NOTHING, true, false);
    }

    static PendingReport reply(String address) {
        return new PendingReport(address, Content.NOTHING, false, true);
    }

    static PendingReport useReport(String address, Content content) {
        return new PendingReport(address, content, true, false);
    }

    /** Returns a report of a change in the own use; it wants no reply. */
    public static PendingReport useChange(String address) {
        return new PendingReport(address, Content.OWN_USE, false, false);
    }

    /** Returns an unrequested report that carries what was just read from the store. */
    public static PendingReport storeUpdate(String address) {
        return reply(address);
    }

    /** Returns one report that replaces this and another one to the same instance. */
    public PendingReport merge(PendingReport other) {
        Content merged = content == Content.NOTHING ? other.content : content;
        return new PendingReport(
                address, merged, wantsReply || other.wantsReply, isReply || other.isReply);
    }
}
