package org.magnoliapick.pgm.internal;

/** How the process ends. */
public enum ExitCode {
    /** The command did what was asked. */
    OK(0),
    /** The command was refused, or there was nothing to answer. */
    REFUSED(1),
    /** The command line, the settings or a file is wrong. */
    USAGE(2),
    /** The change is not accepted, because the log could not be reached. */
    LOG_UNAVAILABLE(3),
    /** Whether the change is accepted is unknown; its token tells later. */
    UNKNOWN(4),
    /** No router could be reached; nothing was changed. */
    UNREACHABLE(5);

    private final int mCode;

    ExitCode(int code) {
        mCode = code;
    }

    /** Returns the code that the process ends with. */
    public int code() {
        return mCode;
    }
}
