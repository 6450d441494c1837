/** Exchanges reports, pool messages and store updates between instances by datagrams. */
package org.magnoliapick.gateway.internal.peer;
