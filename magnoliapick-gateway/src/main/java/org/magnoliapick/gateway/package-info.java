/** The gateway process and the interfaces through which it meets what stands around it. */
package org.magnoliapick.gateway;
