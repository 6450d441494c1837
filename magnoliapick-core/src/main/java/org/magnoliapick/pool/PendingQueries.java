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
            query.mUndecidedMillis = query.mSentMillis;
        }
    }

    /**
     * Returns the maximum age of a decision that is received now, in milliseconds: the time since
     * the last query was sent to which the dispatcher replied that it had not decided.
     */
    public long decisionAgeMillis(long queryId, long nowMillis) {
        PendingQuery query = mQueries.get(queryId);
        return query == null ? 0 : nowMillis - query.mUndecidedMillis;
    }

    /**
     * Removes a query that a dispatcher decided; returns its request unless the query is no longer
     * pending at that dispatcher.
     */
    public Optional<PoolJob> remove(long queryId, InstanceId dispatcher) {
        return Optional.ofNullable(mQueries.get(queryId))
                .filter(query -> query.mDispatcher.equals(dispatcher))
                .map(query -> mQueries.remove(queryId).mJob);
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
     * Returns what is to be done about the pending queries: those whose reply timed out, or all of
     * them if this instance is the dispatcher, are removed to be decided by this instance; others
     * are to be sent to the dispatcher, because the retry interval has passed or the dispatcher has
     * changed.
     *
     * @param dispatcher the current dispatcher; absent if it is this instance
     */
    public QueriesDue takeDue(Optional<InstanceId> dispatcher, long nowMillis) {
        List<PoolJob> undecided = new ArrayList<>();
        List<PoolMessage> messages = new ArrayList<>();
        for (PendingQuery query : List.copyOf(mQueries.values())) {
            boolean dispatcherChanged = !dispatcher.equals(Optional.of(query.mDispatcher));
            boolean timedOut =
                    nowMillis - query.mLastReplyMillis > TIMEOUT_MILLIS + QUEUED_RETRY_MILLIS;
            boolean decidedHere = dispatcher.isEmpty() || timedOut;
            if (decidedHere || dispatcherChanged) {
                messages.add(query.withdrawal());
            }
            if (decidedHere) {
                mQueries.remove(query.mJob.queryId());
                undecided.add(query.mJob);
            } else if (dispatcherChanged || nowMillis - query.mSentMillis >= query.retryMillis()) {
                if (dispatcherChanged) {
                    query.mUndecidedMillis = nowMillis;
                }
                query.mDispatcher = dispatcher.get();
                query.mSentMillis = nowMillis;
                messages.add(new PoolMessage.Query(query.mDispatcher, query.mJob));
            }
        }
        return new QueriesDue(undecided, messages);
    }

    /**
     * What is to be done about pending queries.
     *
     * @param undecided the requests that this instance has to decide
     * @param messages the queries to send, and the withdrawals of those that a dispatcher is no
     *     longer to decide
     */
    public record QueriesDue(List<PoolJob> undecided, List<PoolMessage> messages) {}

    private static final class PendingQuery {
        private final PoolJob mJob;
        private final long mCreatedMillis;
        private InstanceId mDispatcher;
        private long mSentMillis;
        private long mLastReplyMillis;

        /** When the last query was sent that is known to have been undecided then. */
        private long mUndecidedMillis;

        private PendingQuery(PoolJob job, InstanceId dispatcher, long nowMillis) {
            mJob = job;
            mDispatcher = dispatcher;
            mCreatedMillis = nowMillis;
            mSentMillis = nowMillis;
            mUndecidedMillis = nowMillis;
            // The first reply is due after TIMEOUT_MILLIS, without the time for a queued request.
            mLastReplyMillis = nowMillis - QUEUED_RETRY_MILLIS;
        }

        private PoolMessage withdrawal() {
            return new PoolMessage.Withdrawal(mDispatcher, mJob.service(), mJob.queryId());
        }

        private long retryMillis() {
            return mLastReplyMillis >= mCreatedMillis ? QUEUED_RETRY_MILLIS : RETRY_MILLIS;
        }
    }
}
