package org.magnoliapick.pool;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliapick.lib.InstanceId;

/**
 * Queries of this instance that wait for a decision of the service's dispatcher. A query that gets
 * no reply is sent again and, after a timeout, returned to be decided by this instance, so that the
 * loss of a dispatcher delays a request by some milliseconds only.
 */
public final class PendingQueries {
    /** Time after which a query without any reply is sent again: a few round trips. */
    private static final long RETRY_MILLIS = 25;

    /**
     * Time after which a query without any reply is decided by this instance. After a reply that
     * the request is queued, the next reply may take {@link #QUEUED_RETRY_MILLIS} longer, since the
     * query is only sent again after that time.
     */
    private static final long TIMEOUT_MILLIS = 60;

    /** Interval at which a query that the dispatcher reported as queued is sent again. */
    private static final long QUEUED_RETRY_MILLIS = 50;

    private final Map<Long, PendingQuery> mQueries = new LinkedHashMap<>();

    /** Adds a query that is sent to the dispatcher. */
    public void add(PoolJob job, InstanceId dispatcher, long nowMillis) {
        mQueries.put(job.queryId(), new PendingQuery(job, dispatcher, nowMillis));
    }

    /** Records the dispatcher's reply that the request is queued. */
    public void acknowledge(long queryId, long nowMillis) {
        PendingQuery query = mQueries.get(queryId);
        if (query != null) {
            query.mLastReplyMillis = nowMillis;
        }
    }

    /** Removes a query; returns its request unless the query was removed before. */
    public Optional<PoolJob> remove(long queryId) {
        return Optional.ofNullable(mQueries.remove(queryId)).map(each -> each.mJob);
    }

    /**
     * Removes the query of a request that no longer needs an upstream; returns the dispatcher to
     * notify, unless the query was removed before.
     */
    public Optional<InstanceId> withdraw(PoolJob job) {
        return Optional.ofNullable(mQueries.remove(job.queryId())).map(each -> each.mDispatcher);
    }

    /** Returns the number of pending queries. */
    public int size() {
        return mQueries.size();
    }

    /**
     * Removes and returns the queries that this instance has to decide: those whose reply timed
     * out, or all of them if this instance is the dispatcher.
     *
     * @param dispatcher the current dispatcher; absent if it is this instance
     * @param resend receives the requests whose query is to be sent to the dispatcher, because the
     *     retry interval has passed or the dispatcher has changed
     */
    public List<PoolJob> takeTimedOut(
            Optional<InstanceId> dispatcher, List<PoolJob> resend, long nowMillis) {
        List<PoolJob> timedOutJobs = new ArrayList<>();
        for (PendingQuery query : List.copyOf(mQueries.values())) {
            boolean dispatcherChanged = !dispatcher.equals(Optional.of(query.mDispatcher));
            boolean timedOut =
                    nowMillis - query.mLastReplyMillis > TIMEOUT_MILLIS + QUEUED_RETRY_MILLIS;
            if (dispatcher.isEmpty() || timedOut) {
                mQueries.remove(query.mJob.queryId());
                timedOutJobs.add(query.mJob);
            } else if (dispatcherChanged || nowMillis - query.mSentMillis >= query.retryMillis()) {
                query.mDispatcher = dispatcher.get();
                query.mSentMillis = nowMillis;
                resend.add(query.mJob);
            }
        }
        return timedOutJobs;
    }

    private static final class PendingQuery {
        private final PoolJob mJob;
        private final long mCreatedMillis;
        private InstanceId mDispatcher;
        private long mSentMillis;
        private long mLastReplyMillis;

        private PendingQuery(PoolJob job, InstanceId dispatcher, long nowMillis) {
            mJob = job;
            mDispatcher = dispatcher;
            mCreatedMillis = nowMillis;
            mSentMillis = nowMillis;
            // The first reply is due after TIMEOUT_MILLIS, without the time for a queued request.
            mLastReplyMillis = nowMillis - QUEUED_RETRY_MILLIS;
        }

        private long retryMillis() {
            return mLastReplyMillis >= mCreatedMillis ? QUEUED_RETRY_MILLIS : RETRY_MILLIS;
        }
    }
}
