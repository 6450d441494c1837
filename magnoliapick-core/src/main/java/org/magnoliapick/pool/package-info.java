/**
 * Placement of a service's requests: the listed upstreams, their estimated load, and the decision
 * which request is sent to which upstream, waits or is refused.
 */
package org.magnoliapick.pool;
