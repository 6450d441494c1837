/** Structured logs: one JSON line for each decision, bounded and never blocking. */
package org.magnoliapick.gateway.internal.log;
