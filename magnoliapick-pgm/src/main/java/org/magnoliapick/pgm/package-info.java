/** The operators' command line. */
package org.magnoliapick.pgm;
