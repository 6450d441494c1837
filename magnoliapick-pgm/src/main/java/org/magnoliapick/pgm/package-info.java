/** The operators' command, magnoliapickctl. */
package org.magnoliapick.pgm;
