package org.magnoliapick.internal.share;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.config.WorkspaceConfig;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.share.QueuedRequest;

/**
 * Decides whether a request may wait, and when a refused one may come back. A workspace's bound
 * counts for each target by itself, so that a flood of drafts does not block its confirmations.
 */
final class Admission {
    private static final long MAX_RETRY_AFTER_MILLIS = 60_000;

    /** A request is refused ahead of its deadline only if the expected wait is this much longer. */
    private static final double DEADLINE_MARGIN = 2.0;

    private final QueueTable mQueues;
    private final int mMaxQueued;
    private final DrainRate mDrain = new DrainRate();
    private final Map<WorkspaceId, DrainRate> mWorkspaceDrains = new HashMap<>();
    private FleetConfig mConfig = FleetConfig.EMPTY;

    Admission(QueueTable queues, int maxQueued) {
        mQueues = queues;
        mMaxQueued = maxQueued;
    }

    void setConfig(FleetConfig config) {
        mConfig = config;
    }

    /** Returns the reason to refuse a request, if there is one. */
    Optional<ErrorKind> check(QueuedRequest request, boolean served, long nowMillis) {
        if (!served) {
            return Optional.of(ErrorKind.NO_UPSTREAM);
        }
        if (deadlineOutOfReach(request, nowMillis)) {
            return Optional.of(ErrorKind.DEADLINE_BEFORE_START);
        }
        int queued = mQueues.size(request.target(), request.workspace());
        if (queued >= maxQueued(request.workspace())) {
            return Optional.of(ErrorKind.WORKSPACE_QUEUE_FULL);
        }
        if (mQueues.size() >= mMaxQueued) {
            return Optional.of(ErrorKind.INSTANCE_QUEUE_FULL);
        }
        return Optional.empty();
    }

    /** Counts a request that left the queue for an upstream. */
    void recordStart(WorkspaceId workspace, long nowMillis) {
        mDrain.recordStart(nowMillis);
        drain(workspace).recordStart(nowMillis);
    }

    /** Returns when a refused caller may come back, from the pace at which its queue empties. */
    long retryAfterMillis(ErrorKind kind, WorkspaceId workspace, long nowMillis) {
        long least = kind.retryAfterMillis().orElse(0L);
        long wait = least;
        if (kind == ErrorKind.INSTANCE_QUEUE_FULL) {
            wait = mDrain.waitMillis(mQueues.size(), least, nowMillis);
        } else if (kind != ErrorKind.NO_UPSTREAM) {
            wait = drain(workspace).waitMillis(mQueues.size(workspace), least, nowMillis);
        }
        return Math.max(least, Math.min(MAX_RETRY_AFTER_MILLIS, wait));
    }

    private boolean deadlineOutOfReach(QueuedRequest request, long nowMillis) {
        long left = request.deadlineMillis() - nowMillis;
        if (left <= 0) {
            return true;
        }
        DrainRate drain = drain(request.workspace());
        if (!drain.hasEnoughStarts(nowMillis)) {
            return false;
        }
        int ahead = mQueues.countAhead(request, nowMillis);
        return drain.waitMillis(ahead, 0, nowMillis) > left * DEADLINE_MARGIN;
    }

    private int maxQueued(WorkspaceId workspace) {
        return mConfig.workspace(workspace)
                .map(WorkspaceConfig::maxQueued)
                .orElse(WorkspaceConfig.DEFAULT_MAX_QUEUED);
    }

    private DrainRate drain(WorkspaceId workspace) {
        return mWorkspaceDrains.computeIfAbsent(workspace, id -> new DrainRate());
    }
}
