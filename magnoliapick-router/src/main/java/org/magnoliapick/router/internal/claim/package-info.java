/** Claims of requests with an idempotency key, carried through the log. */
package org.magnoliapick.router.internal.claim;
