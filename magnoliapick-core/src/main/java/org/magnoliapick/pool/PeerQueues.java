package org.magnoliapick.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.magnoliapick.lib.InstanceId;

/** How far the least served workspaces that wait at other instances were served. */
final class PeerQueues {
    /** How long what an instance told counts: some reports, so that a lost one does no harm. */
    private static final long LEVEL_MILLIS = 500;

    /** How far ahead a workspace may be served: about one large request. */
    private static final long LEAD_TOKENS = 16_000;

    private final Map<InstanceId, PeerQueue> mLevels = new HashMap<>();

    /**
     * Takes what another instance told.
     *
     * @param tellsAtOnce whether it tells this one of each change, and not only now and then
     */
    void peer(InstanceId instance, PoolUse use, boolean tellsAtOnce, long nowMillis) {
        OptionalLong tokens = use.leastServedTokens();
        if (tokens.isPresent()) {
            PeerQueue level =
                    new PeerQueue(tokens.getAsLong(), use.waitingTokens(), tellsAtOnce, nowMillis);
            mLevels.put(instance, level);
        } else {
            mLevels.remove(instance);
        }
    }

    /** Returns up to which served tokens a workspace may start more. */
    double leastTokens(long nowMillis) {
        return leastTokens(false, nowMillis);
    }

    /** Returns the same by what is known without delay alone. */
    double leastTokensKnownAtOnce(long nowMillis) {
        return leastTokens(true, nowMillis);
    }

    private double leastTokens(boolean onlyAtOnce, long nowMillis) {
        dropOld(nowMillis);
        return mLevels.values().stream()
                .filter(level -> level.toldAtOnce() || !onlyAtOnce)
                .mapToDouble(level -> level.tokens() + LEAD_TOKENS)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    /** Returns the tokens of all requests that wait at other instances. */
    long waitingTokens(long nowMillis) {
        dropOld(nowMillis);
        return mLevels.values().stream().mapToLong(PeerQueue::waitingTokens).sum();
    }

    private void dropOld(long nowMillis) {
        mLevels.values().removeIf(level -> nowMillis - level.atMillis() > LEVEL_MILLIS);
    }

    private record PeerQueue(long tokens, long waitingTokens, boolean toldAtOnce, long atMillis) {}
}
