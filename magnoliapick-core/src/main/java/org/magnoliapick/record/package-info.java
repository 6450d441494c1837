/**
 * Decision records (what was decided, why, and under which configuration), and the summaries,
 * explanations and reports derived from them.
 */
package org.magnoliapick.record;
