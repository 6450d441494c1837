package org.magnoliapick.pgm.internal;

import java.io.PrintWriter;

/**
 * Where a command writes.
 *
 * @param out for results
 * @param err for errors
 */
public record Console(PrintWriter out, PrintWriter err) {}
