/** At-most-once execution of non-idempotent requests through claims in the log. */
package org.magnoliapick.claim;
