package org.magnoliapick.gateway.internal.relay;

import io.netty.handler.codec.http.HttpResponseStatus;
import org.magnoliapick.gateway.ResponseHead;
import org.magnoliapick.lib.UpstreamIncarnation;
import org.magnoliapick.limit.ColdChange;
import org.magnoliapick.limit.PauseChange;
import org.magnoliapick.pool.DomainEvacuation;
import org.magnoliapick.pool.EvacuationChange;
import org.magnoliapick.pool.LeavingChange;
import org.magnoliapick.pool.ListedUpstream;

/**
 * Records what upstreams state about themselves in the heads of responses, and logs it together
 * with the changes of evacuated failure domains.
 */
public final class UpstreamStatements {
    private final RelayContext mContext;
    private final Pools mPools;

    UpstreamStatements(RelayContext context, Pools pools) {
        mContext = context;
        mPools = pools;
    }

    /**
     * Records the statements in the head of a response, unless it may be another server's that was
     * assigned the upstream's address, or a response to another attempt.
     *
     * @param request the request of the attempt
     * @param sentMillis when it was sent
     */
    void record(
            ListedUpstream upstream,
            HttpResponseStatus status,
            ResponseHead head,
            String request,
            long sentMillis) {
        if (status.equals(HttpResponseStatus.MISDIRECTED_REQUEST)
                || head.id().filter(each -> !each.equals(request)).isPresent()) {
            return;
        }
        if (head.leaving()) {
            mPools.recordLeaving(upstream, request, mContext.nowMillis());
        }
        head.coldLeftMillis()
                .ifPresent(
                        millis ->
                                mPools.recordCold(
                                        upstream,
                                        millis,
                                        request,
                                        sentMillis,
                                        mContext.nowMillis()));
        head.pauseMillis()
                .ifPresent(
                        millis ->
                                mContext.pauses()
                                        .record(
                                                upstream.incarnation(),
                                                request,
                                                millis,
                                                mContext.nowMillis()));
    }

    /** Ends the pauses that are over and logs what changed. */
    public void tick(long nowMillis) {
        mContext.pauses().tick(nowMillis);
        for (PauseChange change : mContext.pauses().takeChanges()) {
            UpstreamIncarnation incarnation = change.pause().incarnation();
            mContext.log()
                    .line(change.logName())
                    .with("upstream", incarnation.upstream())
                    .with("startedMillis", incarnation.startedMillis())
                    .with("evidence", change.evidence())
                    .with("forMillis", Math.max(0, change.pause().endMillis() - nowMillis))
                    .log();
        }
        logEvacuations();
        mPools.cold().tick(nowMillis);
        for (ColdChange change : mPools.cold().takeChanges()) {
            mContext.log()
                    .line(change.logName())
                    .with("upstream", change.incarnation().upstream())
                    .with("startedMillis", change.incarnation().startedMillis())
                    .with("evidence", change.evidence())
                    .with("forMillis", change.forMillis())
                    .log();
        }
        for (LeavingChange change : mPools.leaving().takeChanges()) {
            mContext.log()
                    .line(change.logName())
                    .with("upstream", change.upstream().incarnation().upstream())
                    .with("startedMillis", change.upstream().incarnation().startedMillis())
                    .with("evidence", change.evidence())
                    .with("ageMillis", nowMillis - change.upstream().seenMillis())
                    .log();
        }
    }

    /**
     * Logs which failure domains were evacuated or restored; one that is unknown has no upstream.
     */
    private void logEvacuations() {
        for (EvacuationChange change : mPools.evacuated().takeChanges()) {
            DomainEvacuation evacuation = change.evacuation();
            mContext.log()
                    .line(change.logName())
                    .with("domain", evacuation.domain())
                    .with("upstreams", mPools.upstreamCount(evacuation.domain()))
                    .with("epoch", evacuation.epoch())
                    .with("offset", evacuation.offset())
                    .with("evidence", change.evidence())
                    .log();
        }
    }

    /** Appends the metrics as text. */
    public void writeMetrics(StringBuilder text) {
        RelayCounters.appendMetric(
                text, "magnoliapick_upstreams_leaving", mPools.leaving().count());
        RelayCounters.appendMetric(
                text, "magnoliapick_upstreams_cold", mPools.cold().coldCount(mContext.nowMillis()));
        RelayCounters.appendMetric(
                text, "magnoliapick_upstreams_paused", mContext.pauses().count());
        RelayCounters.appendMetric(
                text, "magnoliapick_domains_evacuated", mPools.evacuated().count());
    }
}
