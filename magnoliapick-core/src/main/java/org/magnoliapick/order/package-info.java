/**
 * Orders to engines: compares the desired state of each pool with the state that its engines
 * report, and plans the next order. One instance per pool sends orders, chosen by rendezvous
 * hashing. An order carries the log offset of the setting that it follows as its fencing number.
 */
package org.magnoliapick.order;
