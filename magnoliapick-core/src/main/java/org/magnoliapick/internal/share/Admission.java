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
 * Decides whether a request may be queued, and how long the caller of a refused one should wait
 * before it retries. The queue limit of a workspace applies to each target separately, so that a
 * flood of drafts does not block its confirmations.
 */
final class Admission {
    private static final long MAX_RETRY_AFTER_MILLIS = 60_000;

    /**
     * A request is refused before its deadline has passed only if its expected wait exceeds this
     * multiple of the time left until the deadline.
     */
    private static final double MAX_WAIT_TO_TIME_LEFT_RATIO = 2.0;

    private final QueueTable mQueues;
    private final int mMaxQueued;
    private final DrainRate mInstanceDrain = new DrainRate();
    private final Map<WorkspaceId, DrainRate> mWorkspaceDrains = new HashMap<>();
    private FleetConfig mConfig = FleetConfig.EMPTY;

    Admission(QueueTable queues, int maxQueued) {
        mQueues = queues;
        mMaxQueued = maxQueued;
    }

    void setConfig(FleetConfig config) {
        mConfig = config;
    }

    /**
     * Returns the reason to refuse a request, or empty if it may be queued.
     *
     * @param served whether an upstream that the request does not exclude serves its target
     */
    Optional<ErrorKind> check(QueuedRequest request, boolean served, long nowMillis) {
        if (!served) {
            return Optional.of(ErrorKind.NO_UPSTREAM);
        }
        if (deadlineUnreachable(request, nowMillis)) {
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

    /** Counts a request that left the queue and was started at an upstream. */
    void recordStart(WorkspaceId workspace, long nowMillis) {
        mInstanceDrain.recordStart(nowMillis);
        workspaceDrain(workspace).recordStart(nowMillis);
    }

    /** Returns the retry delay of a refused request, from the rate at which its queue drains. */
    long retryAfterMillis(ErrorKind kind, WorkspaceId workspace, long nowMillis) {
        long minMillis = kind.retryAfterMillis().orElse(0L);
        long waitMillis = minMillis;
        if (kind == ErrorKind.INSTANCE_QUEUE_FULL) {
            waitMillis = mInstanceDrain.waitMillis(mQueues.size(), minMillis, nowMillis);
        } else if (kind != ErrorKind.NO_UPSTREAM) {
            waitMillis =
                    workspaceDrain(workspace)
                            .waitMillis(mQueues.size(workspace), minMillis, nowMillis);
        }
        return Math.max(minMillis, Math.min(MAX_RETRY_AFTER_MILLIS, waitMillis));
    }

    private boolean deadlineUnreachable(QueuedRequest request, long nowMillis) {
        long leftMillis = request.deadlineMillis() - nowMillis;
        if (leftMillis <= 0) {
            return true;
        }
        DrainRate drain = workspaceDrain(request.workspace());
        if (!drain.hasEnoughStarts(nowMillis)) {
            return false;
        }
        int ahead = mQueues.countAhead(request, nowMillis);
        return drain.waitMillis(ahead, 0, nowMillis) > leftMillis * MAX_WAIT_TO_TIME_LEFT_RATIO;
    }

    private int maxQueued(WorkspaceId workspace) {
        return mConfig.workspace(workspace)
                .map(WorkspaceConfig::maxQueued)
                .orElse(WorkspaceConfig.DEFAULT_MAX_QUEUED);
    }

    private DrainRate workspaceDrain(WorkspaceId workspace) {
        return mWorkspaceDrains.computeIfAbsent(workspace, id -> new DrainRate());
    }
}
