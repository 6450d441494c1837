package org.magnoliapick.ports.internal;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.magnoliapick.ports.AttemptFailure;
import org.magnoliapick.ports.ModelStream;

/** Keeps what a model's answer brought. */
final class RecordingStream implements ModelStream {
    final List<String> mChunks = new ArrayList<>();
    int mStatus;
    int mTokens;
    int mEnds;
    int mCancelAfterChunks = Integer.MAX_VALUE;
    long mPromptTokens;
    long mOutputTokens;
    Optional<AttemptFailure> mFailure = Optional.empty();

    @Override
    public void onHead(int status, String contentType) {
        mStatus = status;
    }

    @Override
    public boolean onChunk(byte[] data, int tokens) {
        mChunks.add(new String(data, StandardCharsets.UTF_8));
        mTokens += tokens;
        return mChunks.size() < mCancelAfterChunks;
    }

    @Override
    public void onEnd(long promptTokens, long outputTokens) {
        mEnds++;
        mPromptTokens = promptTokens;
        mOutputTokens = outputTokens;
    }

    @Override
    public void onFailure(AttemptFailure failure, String detail) {
        mEnds++;
        mFailure = Optional.of(failure);
    }

    String text() {
        return String.join("", mChunks);
    }
}
