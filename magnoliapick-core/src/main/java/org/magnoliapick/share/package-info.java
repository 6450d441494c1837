/** Fair sharing of capacity: which workspace gets the next free slot, and on which upstream. */
package org.magnoliapick.share;
