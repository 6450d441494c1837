package org.magnoliapick.router.internal.caller;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Map;
import org.magnoliapick.lib.AttemptId;
import org.magnoliapick.ports.AttemptFailure;
import org.magnoliapick.ports.ModelStream;
import org.magnoliapick.request.AttemptEnd;

/** Numbers the pieces of one model answer and hands them to the request. */
final class ModelRelay implements ModelStream {
    private static final Logger LOG = System.getLogger(ModelRelay.class.getName());

    private final AttemptId mAttempt;
    private final AttemptListener mListener;
    private int mNextIndex;
    private boolean mWanted = true;

    ModelRelay(AttemptId attempt, int firstIndex, AttemptListener listener) {
        mAttempt = attempt;
        mNextIndex = firstIndex;
        mListener = listener;
    }

    @Override
    public void onHead(int status, String contentType) {
        Map<String, List<String>> headers = Map.of("Content-Type", List.of(contentType));
        mWanted = mListener.head(mAttempt, new AnswerHead(status, contentType, headers));
    }

    @Override
    public boolean onChunk(byte[] data, int tokens) {
        mWanted = mWanted && mListener.chunk(mAttempt, mNextIndex, data, tokens);
        mNextIndex++;
        return mWanted;
    }

    @Override
    public void onEnd(long promptTokens, long outputTokens) {
        mListener.end(mAttempt, promptTokens, outputTokens);
    }

    @Override
    public void onFailure(AttemptFailure failure, String detail) {
        LOG.log(Level.INFO, "[attempt] {0} ended: {1} ({2}).", mAttempt, failure, detail);
        mListener.failed(mAttempt, AttemptEnd.valueOf(failure.name()));
    }
}
