package org.magnoliapick.record;

import java.util.Map;
import java.util.Optional;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.WorkspaceId;

/**
 * The summaries of one instance for one window of time.
 *
 * @param instance the instance
 * @param window the window, aligned alike on every instance
 * @param configOffset the configuration in force at its end
 * @param workspaces the summaries of the workspaces to which something happened
 */
public record SummaryBatch(
        InstanceId instance,
        TimeRange window,
        long configOffset,
        Map<WorkspaceId, WorkspaceSummary> workspaces) {
    /** Copies the summaries. */
    public SummaryBatch {
        workspaces = Map.copyOf(workspaces);
    }

    /** Returns the batch as JSON. */
    public byte[] encode() {
        return SummaryCodec.encode(this);
    }

    /** Reads a batch; empty where the bytes are not one. */
    public static Optional<SummaryBatch> decode(byte[] bytes) {
        return SummaryCodec.decode(bytes);
    }
}
