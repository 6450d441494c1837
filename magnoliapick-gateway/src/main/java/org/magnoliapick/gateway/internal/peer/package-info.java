/** What instances tell each other of their use of the upstreams. */
package org.magnoliapick.gateway.internal.peer;
