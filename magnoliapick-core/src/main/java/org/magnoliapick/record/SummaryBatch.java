package org.magnoliapick.record;

import java.util.Map;
import java.util.Optional;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.WorkspaceId;

/**
 * The workspace summaries of one instance for one time window.
 *
 * @param instance the instance
 * @param window the time range of the window; windows are aligned to the same times on all
 *     instances
 * @param configOffset the offset of the configuration in force at the end of the window
 * @param workspaces the summaries of the workspaces with any activity in the window
 */
public record SummaryBatch(
        InstanceId instance,
        TimeRange window,
        long configOffset,
        Map<WorkspaceId, WorkspaceSummary> workspaces) {
    /** Creates a batch; the map is copied. */
    public SummaryBatch {
        workspaces = Map.copyOf(workspaces);
    }

    /** Returns the batch encoded as JSON. */
    public byte[] encode() {
        return SummaryCodec.encode(this);
    }

    /** Decodes a batch. Returns empty if the bytes are not a valid batch. */
    public static Optional<SummaryBatch> decode(byte[] bytes) {
        return SummaryCodec.decode(bytes);
    }
}
