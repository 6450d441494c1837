package org.magnoliapick.record;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.WorkspaceId;

/**
 * The summary batches of the last hour, at most one per instance and window, so that a batch that
 * is received twice is counted once. Not thread-safe.
 */
public final class SummaryHistory {
    /** The retention time of batches, in milliseconds. */
    public static final long RETENTION_MILLIS = 3_600_000;

    private final TreeMap<Long, Map<InstanceId, SummaryBatch>> mBatches = new TreeMap<>();

    /**
     * Adds a batch. Of two batches for the same instance and window, keeps the one with more
     * requests, because the other one may have been taken before the window was over (see {@link
     * SummaryBuilder#currentBatch}).
     */
    public void add(SummaryBatch batch) {
        mBatches.computeIfAbsent(batch.window().fromMillis(), start -> new HashMap<>())
                .merge(batch.instance(), batch, SummaryHistory::larger);
    }

    /** Removes windows that began more than {@link #RETENTION_MILLIS} ago. */
    public void expire(long nowMillis) {
        mBatches.headMap(nowMillis - RETENTION_MILLIS).clear();
    }

    /** Returns the batches of windows that began at or after the given time, oldest first. */
    public List<SummaryBatch> since(long fromMillis) {
        List<SummaryBatch> found = new ArrayList<>();
        mBatches.tailMap(fromMillis).values().forEach(each -> found.addAll(each.values()));
        return found;
    }

    /** Returns the summary of a workspace over all instances since the given time. */
    public WorkspaceSummary summary(WorkspaceId workspace, long fromMillis) {
        return since(fromMillis).stream()
                .map(batch -> batch.workspaces().getOrDefault(workspace, WorkspaceSummary.NONE))
                .reduce(WorkspaceSummary.NONE, WorkspaceSummary::plus);
    }

    private static SummaryBatch larger(SummaryBatch one, SummaryBatch other) {
        return requests(one) >= requests(other) ? one : other;
    }

    private static long requests(SummaryBatch batch) {
        return batch.workspaces().values().stream()
                .mapToLong(each -> each.admitted() + each.ended())
                .sum();
    }
}
