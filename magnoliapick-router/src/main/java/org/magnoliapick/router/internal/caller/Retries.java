package org.magnoliapick.router.internal.caller;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.magnoliapick.request.RetryAllowance;
import org.magnoliapick.share.RetryBudget;

/** The retry budget of this instance, shared by all its requests. */
@Singleton
public final class Retries implements RetryAllowance {
    private final RetryBudget mBudget = new RetryBudget();

    @Inject
    Retries() {}

    @Override
    public synchronized boolean tryAcquire(long nowMillis) {
        return mBudget.tryRetry(nowMillis);
    }

    synchronized void succeeded(long nowMillis) {
        mBudget.recordSuccess(nowMillis);
    }
}
