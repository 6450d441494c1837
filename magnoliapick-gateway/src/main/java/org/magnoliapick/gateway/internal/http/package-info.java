/** HTTP connections of the gateway, towards callers' and towards servers' side. */
package org.magnoliapick.gateway.internal.http;
