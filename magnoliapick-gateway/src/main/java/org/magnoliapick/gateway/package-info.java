/** The gateway's main class, its settings and its interface to the platform it runs on. */
package org.magnoliapick.gateway;
