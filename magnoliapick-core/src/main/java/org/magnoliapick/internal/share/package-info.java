/**
 * Implementation of {@link org.magnoliapick.share}: request queues, accounting of service, slot
 * limits and dispatchers.
 */
package org.magnoliapick.internal.share;
