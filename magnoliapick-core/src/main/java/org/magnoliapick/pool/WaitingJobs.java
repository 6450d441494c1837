package org.magnoliapick.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.WorkspaceId;

/**
 * The requests of a pool that wait at this instance, in the order in which they are to be started.
 * Each workspace has a sorted queue, so that the cost of finding the next request depends on the
 * number of waiting workspaces and hardly on the number of requests.
 */
final class WaitingJobs {
    /** Ratio of served tokens up to which workspaces count as equally served. */
    private static final double LEVEL_FACTOR = 1.25;

    /** Number of served tokens that still counts as hardly any: a few requests. */
    private static final double LEVEL_BASE_TOKENS = 16_000;

    private final Map<PoolJob, WaitingJob> mEntries = new IdentityHashMap<>();
    private final Map<QueryKey, WaitingJob> mByQuery = new HashMap<>();
    private final Map<WorkspaceId, TreeSet<WaitingJob>> mByWorkspace = new HashMap<>();
    private final Map<WorkspaceId, TreeSet<WaitingJob>> mLongByWorkspace = new HashMap<>();
    private final TreeSet<WaitingJob> mAnswerStarted = new TreeSet<>(WaitingJob.ORDER);
    private long mLastSequence;
    private long mTokens;

    /**
     * Adds a request.
     *
     * @param newTokens how many tokens of its prompt an engine would have to prefill
     * @param isLong whether its prompt is long, see {@link PromptClasses}
     */
    void add(PoolJob job, long newTokens, boolean isLong, long nowMillis) {
        WaitingJob entry = new WaitingJob(job, newTokens, isLong, ++mLastSequence, nowMillis);
        mEntries.put(job, entry);
        queue(entry).add(entry);
        mTokens += job.prompt().promptTokens();
        job.requester()
                .ifPresent(
                        requester -> mByQuery.put(new QueryKey(requester, job.queryId()), entry));
    }

    private TreeSet<WaitingJob> queue(WaitingJob entry) {
        PoolJob job = entry.job();
        return job.answerStarted()
                ? mAnswerStarted
                : queues(entry)
                        .computeIfAbsent(job.account(), each -> new TreeSet<>(WaitingJob.ORDER));
    }

    private Map<WorkspaceId, TreeSet<WaitingJob>> queues(WaitingJob entry) {
        return entry.isLong() ? mLongByWorkspace : mByWorkspace;
    }

    /** Returns the number of waiting requests with long prompts. */
    int longCount() {
        return mLongByWorkspace.values().stream().mapToInt(TreeSet::size).sum();
    }

    void remove(PoolJob job) {
        WaitingJob entry = mEntries.remove(job);
        if (entry == null) {
            return;
        }
        TreeSet<WaitingJob> queue = queue(entry);
        queue.remove(entry);
        if (queue.isEmpty()) {
            queues(entry).remove(job.account(), queue);
        }
        mTokens -= job.prompt().promptTokens();
        job.requester()
                .ifPresent(requester -> mByQuery.remove(new QueryKey(requester, job.queryId())));
    }

    /** Returns all waiting requests. */
    List<PoolJob> jobs() {
        return List.copyOf(mEntries.keySet());
    }

    /** Returns the waiting request of another instance's query. */
    Optional<PoolJob> find(InstanceId requester, long queryId) {
        return Optional.ofNullable(mByQuery.get(new QueryKey(requester, queryId)))
                .map(WaitingJob::job);
    }

    int size() {
        return mEntries.size();
    }

    /** Returns the number of waiting requests of each workspace. */
    Map<WorkspaceId, Integer> countByWorkspace() {
        Map<WorkspaceId, Integer> counts = new HashMap<>();
        mEntries.keySet().forEach(job -> counts.merge(job.account(), 1, Integer::sum));
        return counts;
    }

    /** Returns the prompt tokens of all waiting requests. */
    long tokens() {
        return mTokens;
    }

    /** Returns the tokens that the least served workspace with waiting requests was served. */
    OptionalLong leastServedTokens(ServedTokens served, long nowMillis) {
        return Stream.concat(mByWorkspace.keySet().stream(), mLongByWorkspace.keySet().stream())
                .mapToLong(workspace -> Math.round(served.of(workspace, nowMillis)))
                .min();
    }

    /**
     * Returns the waiting requests in order, lazily: first those whose answer has started, then
     * those of the least served workspaces. How much a workspace was served takes precedence over
     * ranks, which only order the requests of workspaces that were served about the same. The
     * iterator must not be used after a change.
     *
     * @param longFirst whether long prompts go before short ones of workspaces that were served
     *     about the same, and not after them
     */
    Iterator<WaitingJob> order(ServedTokens served, boolean longFirst, long nowMillis) {
        List<QueueCursor> cursors = new ArrayList<>();
        if (!mAnswerStarted.isEmpty()) {
            cursors.add(new QueueCursor(-1, mAnswerStarted.iterator()));
        }
        for (Map<WorkspaceId, TreeSet<WaitingJob>> each : List.of(mByWorkspace, mLongByWorkspace)) {
            each.forEach(
                    (workspace, queue) ->
                            cursors.add(
                                    new QueueCursor(
                                            level(served.of(workspace, nowMillis)),
                                            queue.iterator())));
        }
        return new MergedIterator(cursors, longFirst);
    }

    /**
     * Returns the level of a number of served tokens; workspaces on the same level count as equally
     * served.
     */
    private static int level(double servedTokens) {
        return (int) (Math.log1p(servedTokens / LEVEL_BASE_TOKENS) / Math.log(LEVEL_FACTOR));
    }

    private record QueryKey(InstanceId requester, long queryId) {}

    /** An iterator over one queue; its next request is compared with those of the other queues. */
    private static final class QueueCursor {
        private static final Comparator<QueueCursor> LONG_FIRST = order(true);
        private static final Comparator<QueueCursor> LONG_LAST = order(false);

        private final int mLevel;
        private final Iterator<WaitingJob> mRemaining;
        private WaitingJob mNext;

        private QueueCursor(int level, Iterator<WaitingJob> jobs) {
            mLevel = level;
            mRemaining = jobs;
            mNext = jobs.next();
        }

        private static Comparator<QueueCursor> order(boolean longFirst) {
            return Comparator.comparingInt((QueueCursor cursor) -> cursor.mLevel)
                    .thenComparing(
                            cursor -> cursor.mNext,
                            WaitingJob.orderWithClasses(
                                    each -> each.isLong() == longFirst ? 0 : 1));
        }
    }

    private static final class MergedIterator implements Iterator<WaitingJob> {
        private final PriorityQueue<QueueCursor> mCursors;

        private MergedIterator(List<QueueCursor> cursors, boolean longFirst) {
            mCursors =
                    new PriorityQueue<>(longFirst ? QueueCursor.LONG_FIRST : QueueCursor.LONG_LAST);
            mCursors.addAll(cursors);
        }

        @Override
        public boolean hasNext() {
            return !mCursors.isEmpty();
        }

        @Override
        public WaitingJob next() {
            QueueCursor cursor = mCursors.remove();
            WaitingJob next = cursor.mNext;
            if (cursor.mRemaining.hasNext()) {
                cursor.mNext = cursor.mRemaining.next();
                mCursors.add(cursor);
            }
            return next;
        }
    }
}
