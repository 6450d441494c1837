/**
 * The state machine of one request, from its arrival to exactly one final answer. {@link
 * org.magnoliapick.request.RequestMachine} takes events and returns actions; it decides when a
 * failure may be reported as "not run", when a request may be retried, and which answers are
 * dropped.
 */
package org.magnoliapick.request;
