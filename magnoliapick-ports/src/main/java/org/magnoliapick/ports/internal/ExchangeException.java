package org.magnoliapick.ports.internal;

import java.io.IOException;
import org.magnoliapick.ports.AttemptFailure;

/** An exchange that ended without a whole answer. */
final class ExchangeException extends IOException {
    private static final long serialVersionUID = 1L;

    private final AttemptFailure mFailure;

    ExchangeException(AttemptFailure failure, String detail) {
        super(detail);
        mFailure = failure;
    }

    ExchangeException(AttemptFailure failure, IOException cause) {
        super(cause.getClass().getSimpleName() + ": " + cause.getMessage(), cause);
        mFailure = failure;
    }

    AttemptFailure failure() {
        return mFailure;
    }
}
