package org.magnoliapick.router.internal.caller;

import java.util.Optional;
import org.magnoliapick.lib.TargetKind;

/** Counts the service units that one attempt uses. */
final class FlowUsage {
    /** What a token of the prompt costs, in units; a generated token costs one. */
    static final double UNITS_PER_PROMPT_TOKEN = 0.1;

    private final TargetKind mKind;
    private long mBegunMillis = -1;
    private double mTokenUnits;
    private double mEndedUnits;
    private long mFirstTokenMillis = -1;
    private long mLastTokenMillis = -1;
    private long mLongestGapMillis = -1;

    FlowUsage(TargetKind kind) {
        mKind = kind;
    }

    void begin(long nowMillis) {
        mBegunMillis = nowMillis;
        mTokenUnits = 0;
    }

    void tokens(int tokens, long nowMillis) {
        mTokenUnits += Math.max(0, tokens);
        if (tokens <= 0) {
            return;
        }
        if (mFirstTokenMillis < 0) {
            mFirstTokenMillis = nowMillis;
        } else {
            mLongestGapMillis = Math.max(mLongestGapMillis, nowMillis - mLastTokenMillis);
        }
        mLastTokenMillis = nowMillis;
    }

    /** Returns when the first token came, in milliseconds since the epoch. */
    Optional<Long> firstTokenMillis() {
        return mFirstTokenMillis < 0 ? Optional.empty() : Optional.of(mFirstTokenMillis);
    }

    /** Returns the longest time between two tokens, in milliseconds. */
    Optional<Long> longestGapMillis() {
        return mLongestGapMillis < 0 ? Optional.empty() : Optional.of(mLongestGapMillis);
    }

    /** Returns the units of all attempts that have ended. */
    double endedUnits() {
        return mEndedUnits;
    }

    /** Takes the upstream's own count, which goes before what was seen on the way. */
    void counted(long promptTokens, long outputTokens) {
        double promptUnits = Math.max(0, promptTokens) * UNITS_PER_PROMPT_TOKEN;
        mTokenUnits = Math.max(mTokenUnits, (double) outputTokens) + promptUnits;
    }

    /** Returns what was used so far; nothing before the attempt was sent. */
    double units(long nowMillis) {
        if (mBegunMillis < 0) {
            return 0;
        }
        boolean model = mKind == TargetKind.MODEL;
        return model ? mTokenUnits : Math.max(0.0, (double) (nowMillis - mBegunMillis));
    }

    void ended(long nowMillis) {
        mEndedUnits += units(nowMillis);
        mBegunMillis = -1;
    }
}
