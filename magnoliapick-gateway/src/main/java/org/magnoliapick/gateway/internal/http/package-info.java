/** HTTP client connections, the control server and shared socket options of the gateway. */
package org.magnoliapick.gateway.internal.http;
