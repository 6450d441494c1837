/** The way of the configuration from the log to every instance of a failure domain. */
package org.magnoliapick.router.internal.config;
