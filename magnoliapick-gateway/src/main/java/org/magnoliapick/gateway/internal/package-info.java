/** Wiring, settings and lifecycle of the gateway process. */
package org.magnoliapick.gateway.internal;
