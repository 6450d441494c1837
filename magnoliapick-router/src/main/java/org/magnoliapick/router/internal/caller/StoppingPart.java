package org.magnoliapick.router.internal.caller;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.InstantSource;
import org.magnoliapick.router.LimitSettings;
import org.magnoliapick.router.internal.Readiness;
import org.magnoliapick.router.internal.share.ShareLoop;

/**
 * The planned stop: readiness goes off, the balancer gets its time, then new requests are refused
 * and those in progress run to their end.
 */
@Singleton
public final class StoppingPart {
    private static final Logger LOG = System.getLogger(StoppingPart.class.getName());
    private static final long POLL_MILLIS = 50;

    private final Readiness mReadiness;
    private final ShareLoop mShares;
    private final Flows mFlows;
    private final LimitSettings mLimits;
    private final InstantSource mClock;

    @Inject
    StoppingPart(
            Readiness readiness,
            ShareLoop shares,
            Flows flows,
            LimitSettings limits,
            InstantSource clock) {
        mReadiness = readiness;
        mShares = shares;
        mFlows = flows;
        mLimits = limits;
        mClock = clock;
    }

    /** Drains this instance; returns when nothing is in progress or the drain time is over. */
    public void drain() throws InterruptedException {
        LOG.log(Level.INFO, "[stop] Readiness is off; {0} requests in progress.", mFlows.size());
        mReadiness.leave();
        mShares.leave();
        Thread.sleep(mLimits.balancerDelay.toMilliseconds());
        mReadiness.close();
        long endMillis = mClock.millis() + mLimits.drainTime.toMilliseconds();
        while (mFlows.size() > 0 && mClock.millis() < endMillis) {
            Thread.sleep(POLL_MILLIS);
        }
        mFlows.inProgress().forEach(RequestFlow::stopping);
        LOG.log(Level.INFO, "[stop] Drained; {0} requests left.", mFlows.size());
    }
}
