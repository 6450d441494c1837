package org.magnoliapick.router.internal.caller;

import org.magnoliapick.lib.TargetKind;

/** Counts the service units that one attempt uses. */
final class FlowUsage {
    /** What a token of the prompt costs, in units; a generated token costs one. */
    static final double UNITS_PER_PROMPT_TOKEN = 0.1;

    private final TargetKind mKind;
    private long mBegunMillis = -1;
    private double mTokenUnits;

    FlowUsage(TargetKind kind) {
        mKind = kind;
    }

    void begin(long nowMillis) {
        mBegunMillis = nowMillis;
        mTokenUnits = 0;
    }

    void tokens(int tokens) {
        mTokenUnits += Math.max(0, tokens);
    }

    /** Takes the upstream's own count, which goes before what was seen on the way. */
    void counted(long promptTokens, long outputTokens) {
        double promptUnits = Math.max(0, promptTokens) * UNITS_PER_PROMPT_TOKEN;
        mTokenUnits = Math.max(mTokenUnits, outputTokens) + promptUnits;
    }

    /** Returns what was used so far; nothing before the attempt was sent. */
    double units(long nowMillis) {
        if (mBegunMillis < 0) {
            return 0;
        }
        boolean model = mKind == TargetKind.MODEL;
        return model ? mTokenUnits : Math.max(0, nowMillis - mBegunMillis);
    }

    void ended() {
        mBegunMillis = -1;
    }
}
