/** Rows, targets, recovery times and plots made from the measurements of a run. */
package org.magnoliapick.bench.report;
