/** HTTP adapters of the ports. */
package org.magnoliapick.platform.internal;
