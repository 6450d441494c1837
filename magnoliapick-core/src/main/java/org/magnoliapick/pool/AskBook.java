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
public final class AskBook {
    /** After how long without a word a question is asked again: a few round trips. */
    private static final long AGAIN_MILLIS = 25;

    /** After how long without a word a question is decided here. */
    private static final long GIVE_UP_MILLIS = 60;

    /** How often a question is asked again that the dispatcher said waits. */
    private static final long WAITING_MILLIS = 50;

    private final Map<Long, Question> mQuestions = new LinkedHashMap<>();

    /** Takes a question. */
    public void ask(PoolJob job, InstanceId dispatcher, long nowMillis) {
        mQuestions.put(job.number(), new Question(job, dispatcher, nowMillis));
    }

    /** Notes that the dispatcher has the question. */
    public void queued(long number, long nowMillis) {
        Question question = mQuestions.get(number);
        if (question != null) {
            question.mHeardMillis = nowMillis;
        }
    }

    /** Ends a question; returns it unless it ended before. */
    public Optional<PoolJob> end(long number) {
        return Optional.ofNullable(mQuestions.remove(number)).map(each -> each.mJob);
    }

    /** Ends a question whose request needs no answer any more; returns whom to tell. */
    public Optional<InstanceId> withdraw(PoolJob job) {
        return Optional.ofNullable(mQuestions.remove(job.number())).map(each -> each.mDispatcher);
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
    public List<PoolJob> tick(
            Optional<InstanceId> dispatcher, List<PoolJob> again, long nowMillis) {
        List<PoolJob> here = new ArrayList<>();
        for (Question question : List.copyOf(mQuestions.values())) {
            boolean moved = !dispatcher.equals(Optional.of(question.mDispatcher));
            boolean mute = nowMillis - question.mHeardMillis > GIVE_UP_MILLIS + WAITING_MILLIS;
            if (dispatcher.isEmpty() || mute) {
                mQuestions.remove(question.mJob.number());
                here.add(question.mJob);
            } else if (moved || nowMillis - question.mAskedMillis >= question.period()) {
                question.mDispatcher = dispatcher.get();
                question.mAskedMillis = nowMillis;
                again.add(question.mJob);
            }
        }
        return here;
    }

    private static final class Question {
        private final PoolJob mJob;
        private final long mFirstMillis;
        private InstanceId mDispatcher;
        private long mAskedMillis;
        private long mHeardMillis;

        private Question(PoolJob job, InstanceId dispatcher, long nowMillis) {
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
