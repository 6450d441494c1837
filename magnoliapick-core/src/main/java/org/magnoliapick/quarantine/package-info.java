/**
 * Quarantine of poison requests, which crash the upstreams that run them: repetitions of a request,
 * or requests with a prompt part in common.
 */
package org.magnoliapick.quarantine;
