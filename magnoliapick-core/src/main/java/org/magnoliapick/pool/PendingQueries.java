package org.magnoliapick.pool;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliapick.lib.InstanceId;

/**
 * This instance's questions to a service's dispatcher. A question without a word is asked again and
 * then decided here, so that a dispatcher that is lost costs some milliseconds and nothing else.
 */
public final class PendingQueries {
    /** After how long without a word a question is asked again: a few round trips. */
    private static final long AGAIN_MILLIS = 25;

    /** After how long without a word a question is decided here. */
    private static final long GIVE_UP_MILLIS = 60;

    /** How often a question is asked again that the dispatcher said waits. */
    private static final long WAITING_MILLIS = 50;

    private final Map<Long, PendingQuery> mQuestions = new LinkedHashMap<>();

    /** Takes a question. */
    public void add(PoolJob job, InstanceId dispatcher, long nowMillis) {
        mQuestions.put(job.queryId(), new PendingQuery(job, dispatcher, nowMillis));
    }

    /** Notes that the dispatcher has the question. */
    public void acknowledge(long number, long nowMillis) {
        PendingQuery question = mQuestions.get(number);
        if (question != null) {
            question.mHeardMillis = nowMillis;
        }
    }

    /** Ends a question; returns it unless it ended before. */
    public Optional<PoolJob> remove(long number) {
        return Optional.ofNullable(mQuestions.remove(number)).map(each -> each.mJob);
    }

    /** Ends a question whose request needs no answer any more; returns whom to tell. */
    public Optional<InstanceId> withdraw(PoolJob job) {
        return Optional.ofNullable(mQuestions.remove(job.queryId())).map(each -> each.mDispatcher);
    }

    /** Returns how many questions are open. */
    public int size() {
        return mQuestions.size();
    }

    /**
     * Lets time pass.
     *
     * @param dispatcher who decides now; absent if this instance does
     * @param again gets the questions that are to be asked of the dispatcher
     * @return the questions that are to be decided here
     */
    public List<PoolJob> takeTimedOut(
            Optional<InstanceId> dispatcher, List<PoolJob> again, long nowMillis) {
        List<PoolJob> here = new ArrayList<>();
        for (PendingQuery question : List.copyOf(mQuestions.values())) {
            boolean moved = !dispatcher.equals(Optional.of(question.mDispatcher));
            boolean mute = nowMillis - question.mHeardMillis > GIVE_UP_MILLIS + WAITING_MILLIS;
            if (dispatcher.isEmpty() || mute) {
                mQuestions.remove(question.mJob.queryId());
                here.add(question.mJob);
            } else if (moved || nowMillis - question.mAskedMillis >= question.period()) {
                question.mDispatcher = dispatcher.get();
                question.mAskedMillis = nowMillis;
                again.add(question.mJob);
            }
        }
        return here;
    }

    private static final class PendingQuery {
        private final PoolJob mJob;
        private final long mFirstMillis;
        private InstanceId mDispatcher;
        private long mAskedMillis;
        private long mHeardMillis;

        private PendingQuery(PoolJob job, InstanceId dispatcher, long nowMillis) {
            mJob = job;
            mDispatcher = dispatcher;
            mFirstMillis = nowMillis;
            mAskedMillis = nowMillis;
            // Counts as heard a little earlier, so that the first word has to come sooner.
            mHeardMillis = nowMillis - WAITING_MILLIS;
        }

        private long period() {
            return mHeardMillis >= mFirstMillis ? WAITING_MILLIS : AGAIN_MILLIS;
        }
    }
}
