/** Structured logs: one JSON line per event, written asynchronously and limited in volume. */
package org.magnoliapick.gateway.internal.log;
