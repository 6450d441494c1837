package org.magnoliapick.quarantine;

import java.util.Locale;

/**
 * A change in what is believed about a prompt part, for the log.
 *
 * @param kind what changed
 * @param part the part
 * @param crashes the number of crashes that are not refuted
 * @param evidence the crashed upstreams and the requests that were unanswered there
 * @param endMillis until when requests with the part are refused; only for quarantines
 */
public record QuarantineChange(
        Kind kind, PartKey part, int crashes, String evidence, long endMillis) {
    /** The kinds of changes. */
    public enum Kind {
        /** An upstream crashed while a request with the part was unanswered. */
        SUSPECTED,
        /** Requests with the part are refused from now on, or for longer than before. */
        QUARANTINED,
        /** A request with the part was answered; the part is no longer suspected. */
        REFUTED,
        /** The quarantine has ended and one request is sent to test the part. */
        PROBED,
        /** The evidence is too old. */
        FORGOTTEN
    }

    /** Returns the name used in log lines. */
    public String logName() {
        return "prompt." + kind.name().toLowerCase(Locale.ROOT);
    }
}
