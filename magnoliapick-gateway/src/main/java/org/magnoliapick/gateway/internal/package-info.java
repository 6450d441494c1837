/** The parts of the gateway and how they are put together. */
package org.magnoliapick.gateway.internal;
