/** The HTTP server that accepts callers' connections. */
package org.magnoliapick.gateway.internal.caller;
