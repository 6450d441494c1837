package org.magnoliapick.request;

/** Decides whether one more retry is affordable. */
public interface RetryAllowance {
    /** Takes one retry from the budget; returns false if there is none left. */
    boolean tryAcquire(long nowMillis);
}
