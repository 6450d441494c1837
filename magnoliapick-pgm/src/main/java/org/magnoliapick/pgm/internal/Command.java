package org.magnoliapick.pgm.internal;

/** One command of the program. */
interface Command {
    /** Runs the command. */
    ExitCode run(Invocation invocation);
}
