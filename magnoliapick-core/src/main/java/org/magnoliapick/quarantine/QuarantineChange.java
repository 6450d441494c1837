package org.magnoliapick.quarantine;

import java.util.Locale;

/**
 * A change in what is believed about a prompt part or a fingerprint, for the log.
 *
 * @param kind what changed
 * @param key the part or the fingerprint
 * @param crashes the number of crashes that are not refuted
 * @param evidence the crashed upstreams and the fingerprints of requests that were unanswered there
 * @param endMillis until when requests that have it are refused; only for quarantines
 */
public record QuarantineChange(
        Kind kind, SuspectKey key, int crashes, String evidence, long endMillis) {
    /** The kinds of changes. */
    public enum Kind {
        /** An upstream crashed while a request that has it was unanswered. */
        SUSPECTED,
        /** Requests that have it are refused from now on, or for longer than before. */
        QUARANTINED,
        /** A request that has it was answered; it is no longer suspected. */
        REFUTED,
        /** The quarantine has not begun or has ended, and one request is sent as a test. */
        PROBED,
        /** The evidence is too old. */
        FORGOTTEN
    }

    /** Returns the name used in log lines. */
    public String logName() {
        return key.kind().logPrefix() + "." + kind.name().toLowerCase(Locale.ROOT);
    }
}
