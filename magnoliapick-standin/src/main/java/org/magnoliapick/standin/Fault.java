package org.magnoliapick.standin;

import java.util.Locale;
import java.util.Optional;

/** What a stand-in can be told to do wrong. */
public enum Fault {
    /** Closes the connection without an answer and without doing anything. */
    CUT_BEFORE_HEAD,
    /** Does what was asked and closes the connection without an answer. */
    LOST_ANSWER,
    /** Closes the connection in the middle of the answer. */
    HALF_ANSWER,
    /** Answers under the identifier of another attempt. */
    CROSSED_ATTEMPT,
    /** Answers without the identifier of the attempt. */
    MISSING_ATTEMPT,
    /** Neither does nor answers anything until the fault is cleared. */
    STALL,
    /** Answers with bytes that are not JSON. */
    MALFORMED,
    /** Answers with JSON whose fields have other types. */
    WRONG_TYPE,
    /** Answers with more bytes than a reader should take. */
    OVERLONG,
    /** Answers with status 500. */
    FAIL,
    /** Answers with status 503 and the proof that nothing was started. */
    REFUSE,
    /** Answers with status 503 and no proof. */
    OUTAGE,
    /** Ends a stream in good order but without its end mark. */
    NO_END_MARK,
    /** Ends a stream with an error event. */
    ERROR_EVENT,
    /** Answers with an empty list. */
    EMPTY_LIST,
    /** Answers no question about the load. */
    NO_REPORT;

    /** Returns the name used in calls. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Finds the fault of a name used in calls. */
    public static Optional<Fault> ofWireName(String name) {
        for (Fault fault : values()) {
            if (fault.wireName().equals(name)) {
                return Optional.of(fault);
            }
        }
        return Optional.empty();
    }
}
