package org.magnoliapick.proof;

import java.util.Locale;

/** What fails. */
enum Fault {
    /** A router is cut off from the log, its peers and the upstreams, and joins again later. */
    PARTITION,
    /** A router restarts with no memory. */
    RESTART,
    /** One workspace floods the fleet. */
    FLOOD,
    /** The log refuses everything. */
    LOG_OUT,
    /** The log takes appends, tells nobody, and shows them much later. */
    LOG_SLOW,
    /** The log takes appends and its answers are lost. */
    APPEND_ANSWER_LOST,
    /** An upstream acts and its answer is lost. */
    ANSWER_LOST,
    /** A process pauses for longer than any deadline or lease and goes on as if nothing was. */
    PAUSE,
    /** Two operators change the same setting. */
    OPERATORS_RACE,
    /** An upstream leaves. */
    UPSTREAM_LEAVES,
    /** An upstream dies. */
    UPSTREAM_DIES,
    /** Answers of an old attempt arrive. */
    CROSSED_ANSWER,
    /** Everything arrives twice. */
    REPEATED,
    /** The instance list is empty or cannot be read. */
    LIST_LOST;

    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    static Fault ofLabel(String label) {
        return valueOf(label.toUpperCase(Locale.ROOT).replace('-', '_'));
    }
}
