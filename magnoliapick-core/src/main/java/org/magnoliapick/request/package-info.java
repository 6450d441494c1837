/**
 * The life of one request, from its arrival to exactly one final answer. {@link
 * org.magnoliapick.request.RequestMachine} takes events and returns actions; it decides when an end
 * may be called "not run", when a request may be tried again, and which answers are dropped.
 */
package org.magnoliapick.request;
