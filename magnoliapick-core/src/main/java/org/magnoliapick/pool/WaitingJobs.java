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
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.WorkspaceId;

/**
 * The requests of a pool that wait at this instance, and the order in which they go. Each
 * workspace's are kept in order, so that finding the next one depends on how many workspaces wait
 * and hardly on how many requests.
 */
final class WaitingJobs {
    /** How many times as much as another a workspace may get and count as served the same. */
    private static final double SAME_FACTOR = 1.25;

    /** What a workspace may get and still count as hardly served: a few requests. */
    private static final double SAME_TOKENS = 16_000;

    private final Map<PoolJob, WaitingJob> mEntries = new IdentityHashMap<>();
    private final Map<QueryKey, WaitingJob> mQuestions = new HashMap<>();
    private final Map<WorkspaceId, TreeSet<WaitingJob>> mByWorkspace = new HashMap<>();
    private final TreeSet<WaitingJob> mUnderWay = new TreeSet<>(WaitingJob.ORDER);
    private long mNumbers;
    private long mTokens;

    /**
     * Adds a request.
     *
     * @param newTokens how many tokens of its prompt an engine would have to read
     */
    void add(PoolJob job, long newTokens, long nowMillis) {
        WaitingJob entry = new WaitingJob(job, newTokens, ++mNumbers, nowMillis);
        mEntries.put(job, entry);
        queue(job).add(entry);
        mTokens += job.prompt().promptTokens();
        job.requester().ifPresent(asker -> mQuestions.put(new QueryKey(asker, job.queryId()), entry));
    }

    private TreeSet<WaitingJob> queue(PoolJob job) {
        return job.answerStarted()
                ? mUnderWay
                : mByWorkspace.computeIfAbsent(
                        job.account(), each -> new TreeSet<>(WaitingJob.ORDER));
    }

    void remove(PoolJob job) {
        WaitingJob entry = mEntries.remove(job);
        if (entry == null) {
            return;
        }
        TreeSet<WaitingJob> queue = queue(job);
        queue.remove(entry);
        if (queue.isEmpty()) {
            mByWorkspace.remove(job.account(), queue);
        }
        mTokens -= job.prompt().promptTokens();
        job.requester().ifPresent(asker -> mQuestions.remove(new QueryKey(asker, job.queryId())));
    }

    /** Returns the question of another instance that waits under its number. */
    Optional<PoolJob> find(InstanceId asker, long number) {
        return Optional.ofNullable(mQuestions.get(new QueryKey(asker, number)))
                .map(WaitingJob::job);
    }

    int size() {
        return mEntries.size();
    }

    /** Returns how many requests of each workspace wait. */
    Map<WorkspaceId, Integer> countByWorkspace() {
        Map<WorkspaceId, Integer> counts = new HashMap<>();
        mEntries.keySet().forEach(job -> counts.merge(job.account(), 1, Integer::sum));
        return counts;
    }

    /** Returns the prompt tokens of all that wait. */
    long tokens() {
        return mTokens;
    }

    /** Returns what the least served workspace that waits was served, in tokens. */
    OptionalLong leastServed(ServedTokens served, long nowMillis) {
        return mByWorkspace.keySet().stream()
                .mapToLong(workspace -> Math.round(served.of(workspace, nowMillis)))
                .min();
    }

    /**
     * Returns all in order, as they are asked for: what is under way, then those of the least
     * served workspaces. Shares go before ranks, which decide among workspaces that were served
     * about the same. Must not be used after a change.
     */
    Iterator<WaitingJob> order(ServedTokens served, long nowMillis) {
        List<QueueCursor> turns = new ArrayList<>();
        if (!mUnderWay.isEmpty()) {
            turns.add(new QueueCursor(-1, mUnderWay.iterator()));
        }
        mByWorkspace.forEach(
                (workspace, queue) ->
                        turns.add(
                                new QueueCursor(step(served.of(workspace, nowMillis)), queue.iterator())));
        return new MergedIterator(turns);
    }

    /** Returns the step on the scale of shares: those on one step count as served the same. */
    private static int step(double servedTokens) {
        return (int) (Math.log1p(servedTokens / SAME_TOKENS) / Math.log(SAME_FACTOR));
    }

    private record QueryKey(InstanceId asker, long number) {}

    /** One workspace's requests, of which the first that was not taken is compared with others. */
    private static final class QueueCursor {
        private static final Comparator<QueueCursor> ORDER =
                Comparator.comparingInt((QueueCursor turn) -> turn.mStep)
                        .thenComparing(turn -> turn.mHead, WaitingJob.ORDER);

        private final int mStep;
        private final Iterator<WaitingJob> mRest;
        private WaitingJob mHead;

        private QueueCursor(int step, Iterator<WaitingJob> jobs) {
            mStep = step;
            mRest = jobs;
            mHead = jobs.next();
        }
    }

    private static final class MergedIterator implements Iterator<WaitingJob> {
        private final PriorityQueue<QueueCursor> mTurns = new PriorityQueue<>(QueueCursor.ORDER);

        private MergedIterator(List<QueueCursor> turns) {
            mTurns.addAll(turns);
        }

        @Override
        public boolean hasNext() {
            return !mTurns.isEmpty();
        }

        @Override
        public WaitingJob next() {
            QueueCursor turn = mTurns.remove();
            WaitingJob next = turn.mHead;
            if (turn.mRest.hasNext()) {
                turn.mHead = turn.mRest.next();
                mTurns.add(turn);
            }
            return next;
        }
    }
}
