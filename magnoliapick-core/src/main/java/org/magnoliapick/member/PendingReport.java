package org.magnoliapick.member;

/**
 * One instance that is to be told something now.
 *
 * @param address where it listens
 * @param content what it needs to know
 * @param wantsReply whether it is to tell something back soon
 * @param isReply whether it asked to be told, so that it gets what it may not know
 */
public record PendingReport(String address, Content content, boolean wantsReply, boolean isReply) {
    /** What a report holds beside who sends it. */
    public enum Content {
        /** Nothing. */
        NOTHING,
        /** The sender's own use of the upstreams, for the instance that decides for it. */
        OWN_USE,
        /** The use of all for whom the sender decides, for others that decide. */
        WHOLE_USE
    }

    static PendingReport greeting(String address) {
        return new PendingReport(address, Content.NOTHING, true, false);
    }

    static PendingReport reply(String address) {
        return new PendingReport(address, Content.NOTHING, false, true);
    }

    static PendingReport use(String address, Content content) {
        return new PendingReport(address, content, true, false);
    }

    /** Returns a change of the own use, which needs no answer. */
    public static PendingReport usageChange(String address) {
        return new PendingReport(address, Content.OWN_USE, false, false);
    }

    /** Returns what was read just now, which nobody asked for. */
    public static PendingReport storeUpdate(String address) {
        return reply(address);
    }

    /** Returns one telling in place of two to the same instance. */
    public PendingReport merge(PendingReport other) {
        Content more = content == Content.NOTHING ? other.content : content;
        return new PendingReport(address, more, wantsReply || other.wantsReply, isReply || other.isReply);
    }
}
