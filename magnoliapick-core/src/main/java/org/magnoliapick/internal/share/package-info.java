/** The parts behind {@link org.magnoliapick.share}: queues, accounts, slots and dispatchers. */
package org.magnoliapick.internal.share;
