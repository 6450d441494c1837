package org.magnoliapick.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * An engine in virtual time that prefills prompts in the order of arrival, in chunks that share
 * each step with one token of every request that is being answered. A step takes longer the more
 * tokens it holds.
 */
final class ChunkedEngine {
    private static final double STEP_BASE_MILLIS = 5;
    private static final int TOKENS_PER_EVENT = 5;

    private final ListedUpstream mUpstream;
    private final VirtualTime mTime;
    private final int mChunkTokens;
    private final List<Work> mWork = new ArrayList<>();
    private double mTokensPerMilli;
    private boolean mStepping;

    /** The time at which the present step ends; steps are no whole number of milliseconds. */
    private double mStepEndMillis;

    ChunkedEngine(
            ListedUpstream upstream, double tokensPerMilli, int chunkTokens, VirtualTime time) {
        mUpstream = upstream;
        mTokensPerMilli = tokensPerMilli;
        mChunkTokens = chunkTokens;
        mTime = time;
    }

    ListedUpstream upstream() {
        return mUpstream;
    }

    /** Multiplies its speed by a factor from the next step on. */
    void changeSpeed(double factor) {
        mTokensPerMilli *= factor;
    }

    /**
     * Adds a request.
     *
     * @param onEvent is told each event; its argument says whether it is the last one
     */
    void arrive(long promptTokens, int outputTokens, Consumer<Boolean> onEvent) {
        mWork.add(new Work(promptTokens, outputTokens, onEvent));
        if (!mStepping) {
            mStepping = true;
            mStepEndMillis = mTime.nowMillis();
            step();
        }
    }

    private void step() {
        if (mWork.isEmpty()) {
            mStepping = false;
            return;
        }
        long chunk = mChunkTokens;
        List<Work> decoding = new ArrayList<>();
        for (Work work : mWork) {
            if (work.mPromptTokens > 0) {
                long tokens = Math.min(chunk, work.mPromptTokens);
                work.mPromptTokens -= tokens;
                chunk -= tokens;
            }
            if (work.mPromptTokens == 0) {
                decoding.add(work);
            }
        }
        double tokens = mChunkTokens - chunk + decoding.size();
        mStepEndMillis += STEP_BASE_MILLIS + tokens / mTokensPerMilli;
        mTime.at((long) mStepEndMillis, () -> endStep(decoding));
    }

    private void endStep(List<Work> decoding) {
        for (Work work : decoding) {
            work.mGenerated++;
            boolean last = work.mGenerated >= work.mOutputTokens;
            if (last) {
                mWork.remove(work);
            }
            if (last || work.mGenerated % TOKENS_PER_EVENT == 1) {
                work.mOnEvent.accept(last);
            }
        }
        step();
    }

    private static final class Work {
        private final int mOutputTokens;
        private final Consumer<Boolean> mOnEvent;
        private long mPromptTokens;
        private int mGenerated;

        private Work(long promptTokens, int outputTokens, Consumer<Boolean> onEvent) {
            mPromptTokens = promptTokens;
            mOutputTokens = outputTokens;
            mOnEvent = onEvent;
        }
    }
}
