/** The driver in virtual time: event queue, links, fake upstreams, callers and meters. */
package org.magnoliapick.bench.driver;
