/** Decisions on a service's upstreams: which are listed, how loaded they are, who goes where. */
package org.magnoliapick.pool;
