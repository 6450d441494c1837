package org.magnoliapick.request;

/** Limits the number of retries. */
public interface RetryAllowance {
    /** Takes one retry from the budget; returns false if the budget is exhausted. */
    boolean tryAcquire(long nowMillis);
}
