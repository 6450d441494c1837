/**
 * Quarantine of poison requests: prompt parts whose requests crash the upstreams that answer them.
 */
package org.magnoliapick.quarantine;
