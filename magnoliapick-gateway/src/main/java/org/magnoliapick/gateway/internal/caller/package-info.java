/** The side of the gateway that callers connect to. */
package org.magnoliapick.gateway.internal.caller;
