/** Follows the configuration and the list of upstreams in the store. */
package org.magnoliapick.gateway.internal.store;
