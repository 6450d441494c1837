/**
 * At-most-once execution of non-idempotent requests through claims in the log. Every instance
 * applies the same entries in the order of their offsets, so all instances agree on the claim that
 * holds a key. Claims are never taken over by another instance, so no lease is needed.
 */
package org.magnoliapick.claim;
