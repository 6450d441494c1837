/**
 * Relays requests: runs attempts at the upstreams that the pools choose and responds to callers.
 */
package org.magnoliapick.gateway.internal.relay;
