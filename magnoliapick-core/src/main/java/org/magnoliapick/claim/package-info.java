/**
 * At-most-once execution of non-idempotent requests through claims in the log. Every instance folds
 * the same entries in the order of their offsets, so every instance names the same winner of a key;
 * claims are never taken over, so no lease is needed.
 */
package org.magnoliapick.claim;
