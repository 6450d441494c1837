package org.magnoliapick.pgm.internal;

/** Ends a command with a message and an exit code. */
final class PgmException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ExitCode mCode;

    PgmException(ExitCode code, String message) {
        super(message);
        mCode = code;
    }

    static PgmException usage(String key, Object... arguments) {
        return new PgmException(ExitCode.USAGE, PgmText.get(key, arguments));
    }

    ExitCode code() {
        return mCode;
    }
}
