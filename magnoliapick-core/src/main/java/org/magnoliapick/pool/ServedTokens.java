package org.magnoliapick.pool;

import java.util.HashMap;
import java.util.Map;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.WorkspaceId;

/**
 * Tokens that all instances served each workspace recently, exponentially decayed over the share
 * window. A request counts with {@code Prompt.costTokens()} at the instance that decides to start
 * it.
 */
final class ServedTokens {
    /** Time for which another instance's report is used, in milliseconds. */
    private static final long PEER_TIMEOUT_MILLIS = 2_000;

    private final double mWindowMillis;
    private final Map<WorkspaceId, Double> mOwn = new HashMap<>();
    private final Map<InstanceId, PeerServed> mPeers = new HashMap<>();
    private long mDecayedMillis;

    ServedTokens(long windowMillis) {
        mWindowMillis = windowMillis;
    }

    void add(WorkspaceId workspace, long tokens, long nowMillis) {
        decay(nowMillis);
        mOwn.merge(workspace, (double) tokens, Double::sum);
    }

    /** Takes back tokens that were added at a time, as far as they have not decayed. */
    void remove(WorkspaceId workspace, long tokens, long addedMillis, long nowMillis) {
        decay(nowMillis);
        double left = tokens * Math.exp(-(nowMillis - addedMillis) / mWindowMillis);
        mOwn.computeIfPresent(workspace, (id, served) -> served - left);
        mOwn.values().removeIf(served -> served < 1);
    }

    void updatePeer(InstanceId instance, Map<WorkspaceId, Long> served, long nowMillis) {
        mPeers.put(instance, new PeerServed(served, nowMillis));
    }

    /** Returns the tokens that all instances served a workspace. */
    double of(WorkspaceId workspace, long nowMillis) {
        decay(nowMillis);
        double tokens = mOwn.getOrDefault(workspace, 0.0);
        for (PeerServed peer : mPeers.values()) {
            if (nowMillis - peer.atMillis() <= PEER_TIMEOUT_MILLIS) {
                tokens += peer.served().getOrDefault(workspace, 0L);
            }
        }
        return tokens;
    }

    Map<WorkspaceId, Long> ownTokens(long nowMillis) {
        decay(nowMillis);
        Map<WorkspaceId, Long> own = new HashMap<>();
        mOwn.forEach((workspace, tokens) -> own.put(workspace, Math.round(tokens)));
        return own;
    }

    private void decay(long nowMillis) {
        long elapsedMillis = nowMillis - mDecayedMillis;
        if (elapsedMillis <= 0) {
            return;
        }
        double factor = Math.exp(-elapsedMillis / mWindowMillis);
        mOwn.replaceAll((workspace, tokens) -> tokens * factor);
        mOwn.values().removeIf(tokens -> tokens < 1);
        mDecayedMillis = nowMillis;
    }

    private record PeerServed(Map<WorkspaceId, Long> served, long atMillis) {}
}
