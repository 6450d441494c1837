/** HTTP adapters of the ports. */
package org.magnoliapick.ports.internal;
