package org.magnoliapick.gateway.internal.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.magnoliapick.pool.ListedUpstream;
import org.magnoliapick.quarantine.PromptQuarantine;
import org.magnoliapick.quarantine.QuarantineChange;
import org.magnoliapick.relay.RelayRequest;
import org.magnoliapick.relay.RequestContent;

/** Tells the quarantine which requests were lost in crashes, and logs its changes. */
final class QuarantineMonitor {
    /**
     * The time after the loss of a connection until it is checked whether the upstream crashed, in
     * milliseconds: the other connections to it are lost by then.
     */
    private static final long CRASH_CHECK_DELAY_MILLIS = 100;

    private final RelayContext mContext;
    private final Pools mPools;

    /** The requests that were lost at upstreams whose check is due, which is one for all. */
    private final Map<ListedUpstream, List<Lost>> mLost = new HashMap<>();

    QuarantineMonitor(RelayContext context, Pools pools) {
        mContext = context;
        mPools = pools;
    }

    /** Records that the connection of a request was lost before anything of its answer arrived. */
    void lostUnanswered(RelayRequest request, ListedUpstream upstream) {
        Lost lost = new Lost(request.content(), mContext.nowMillis());
        List<Lost> waiting = mLost.get(upstream);
        if (waiting != null) {
            waiting.add(lost);
            return;
        }
        mLost.put(upstream, new ArrayList<>(List.of(lost)));
        mContext.loop()
                .schedule(
                        () -> checkCrash(upstream),
                        CRASH_CHECK_DELAY_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void checkCrash(ListedUpstream upstream) {
        List<Lost> lost = mLost.remove(upstream);
        mPools.checkCrash(
                upstream,
                mContext::nowMillis,
                () -> lost.forEach(each -> recordCrash(each, upstream)));
    }

    private void recordCrash(Lost lost, ListedUpstream upstream) {
        mContext.quarantine()
                .recordCrash(
                        lost.content(),
                        upstream.id(),
                        upstream.startedMillis(),
                        lost.atMillis(),
                        mContext.nowMillis());
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
                .with("service", change.key().service())
                .with(change.key().kind().fieldName(), change.key().id())
                .with("crashes", change.crashes())
                .with("evidence", change.evidence())
                .with("forMillis", Math.max(0, change.endMillis() - nowMillis))
                .log();
    }

    private record Lost(RequestContent content, long atMillis) {}
}
