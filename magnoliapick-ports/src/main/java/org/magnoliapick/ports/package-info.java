/** Ports to the platform and the upstreams; their adapters live in {@code internal}. */
package org.magnoliapick.ports;
