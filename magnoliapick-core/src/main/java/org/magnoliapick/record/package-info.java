/** Decision records, and the summaries, explanations and reports derived from them. */
package org.magnoliapick.record;
