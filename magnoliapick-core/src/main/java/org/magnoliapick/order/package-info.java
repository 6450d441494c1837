/**
 * Orders to engines: compares what the settings want loaded with what engines report, and decides
 * the next order. One instance per pool gives orders, chosen by rendezvous hash; an order carries
 * the offset of the setting that it follows as its fencing number.
 */
package org.magnoliapick.order;
