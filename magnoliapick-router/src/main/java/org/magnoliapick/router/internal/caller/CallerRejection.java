package org.magnoliapick.router.internal.caller;

import org.magnoliapick.errors.ErrorKind;

/** A request that is refused before it becomes a request in progress. */
final class CallerRejection extends Exception {
    private static final long serialVersionUID = 1L;

    private final ErrorKind mKind;

    CallerRejection(ErrorKind kind) {
        super(kind.wireName(), null, false, false);
        mKind = kind;
    }

    ErrorKind kind() {
        return mKind;
    }
}
