/** The commands of magnoliapickctl and what they share. */
package org.magnoliapick.pgm.internal;
