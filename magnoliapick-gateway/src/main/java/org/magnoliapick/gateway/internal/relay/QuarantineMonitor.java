package org.magnoliapick.gateway.internal.relay;

import java.util.concurrent.TimeUnit;
import org.magnoliapick.pool.ListedUpstream;
import org.magnoliapick.quarantine.PromptQuarantine;
import org.magnoliapick.quarantine.QuarantineChange;
import org.magnoliapick.relay.RelayRequest;

/** Tells the quarantine which requests were lost in crashes, and logs its changes. */
final class QuarantineMonitor {
    /**
     * The time after the loss of a connection until it is checked whether the upstream crashed, in
     * milliseconds: the other connections to it are lost by then.
     */
    private static final long CRASH_CHECK_DELAY_MILLIS = 100;

    private final RelayContext mContext;
    private final Pools mPools;

    QuarantineMonitor(RelayContext context, Pools pools) {
        mContext = context;
        mPools = pools;
    }

    /** Records that the connection of a request was lost before anything of its answer arrived. */
    void lostUnanswered(RelayRequest request, ListedUpstream upstream) {
        if (request.prompt().sharedParts().isEmpty()) {
            return;
        }
        long lostMillis = mContext.nowMillis();
        mContext.loop()
                .schedule(
                        () -> checkCrash(request, upstream, lostMillis),
                        CRASH_CHECK_DELAY_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void checkCrash(RelayRequest request, ListedUpstream upstream, long lostMillis) {
        mPools.checkCrash(
                upstream,
                mContext::nowMillis,
                () ->
                        mContext.quarantine()
                                .recordCrash(
                                        request.service(),
                                        request.prompt(),
                                        request.id(),
                                        upstream.id(),
                                        upstream.startedMillis(),
                                        lostMillis));
    }

    /** Forgets old crashes and logs all changes; returns whether a quarantine has begun. */
    boolean tick(long nowMillis) {
        PromptQuarantine quarantine = mContext.quarantine();
        quarantine.tick(nowMillis);
        boolean begun = false;
        for (QuarantineChange change : quarantine.takeChanges()) {
            log(change, nowMillis);
            begun |= change.kind() == QuarantineChange.Kind.QUARANTINED;
        }
        return begun;
    }

    private void log(QuarantineChange change, long nowMillis) {
        mContext.log()
                .line(change.logName())
                .with("service", change.part().service())
                .with("part", change.part().part())
                .with("crashes", change.crashes())
                .with("evidence", change.evidence())
                .with("forMillis", Math.max(0, change.endMillis() - nowMillis))
                .log();
    }
}
