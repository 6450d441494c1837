/** The load command. */
package org.magnoliapick.load;
