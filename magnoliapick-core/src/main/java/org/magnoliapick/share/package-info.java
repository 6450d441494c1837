/** Fair shares: which workspace's request gets the next free slot, and on which upstream. */
package org.magnoliapick.share;
