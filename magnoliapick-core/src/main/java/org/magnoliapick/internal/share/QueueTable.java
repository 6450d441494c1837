package org.magnoliapick.internal.share;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.share.QueuedRequest;

/** The queued requests of one instance, by target and workspace. */
final class QueueTable {
    private static final NavigableSet<WaitingRequest> EMPTY =
            Collections.unmodifiableNavigableSet(new TreeSet<>(WaitingRequest.BY_RANK));

    private final Map<String, Map<WorkspaceId, TreeSet<WaitingRequest>>> mByTarget =
            new TreeMap<>();
    private final Map<RequestId, WaitingRequest> mById = new HashMap<>();
    private final Map<WorkspaceId, Integer> mSizes = new HashMap<>();
    private final TreeSet<WaitingRequest> mByDeadline = new TreeSet<>(WaitingRequest.BY_DEADLINE);
    private long mNextSequence;

    /** Adds a request to its queue, which is ordered by rank. */
    WaitingRequest add(QueuedRequest request, long nowMillis) {
        WaitingRequest waiting = new WaitingRequest(request, nowMillis, mNextSequence++);
        mByTarget
                .computeIfAbsent(request.target(), target -> new TreeMap<>())
                .computeIfAbsent(request.workspace(), id -> new TreeSet<>(WaitingRequest.BY_RANK))
                .add(waiting);
        mById.put(request.id(), waiting);
        mByDeadline.add(waiting);
        mSizes.merge(request.workspace(), 1, Integer::sum);
        return waiting;
    }

    /** Removes a request and returns it, or empty if it is not queued. */
    Optional<WaitingRequest> remove(RequestId id) {
        WaitingRequest waiting = mById.remove(id);
        if (waiting == null) {
            return Optional.empty();
        }
        WorkspaceId workspace = waiting.request().workspace();
        Map<WorkspaceId, TreeSet<WaitingRequest>> queues =
                mByTarget.get(waiting.request().target());
        TreeSet<WaitingRequest> queue = queues.get(workspace);
        queue.remove(waiting);
        if (queue.isEmpty()) {
            queues.remove(workspace);
        }
        mByDeadline.remove(waiting);
        mSizes.computeIfPresent(workspace, (key, size) -> size == 1 ? null : size - 1);
        return Optional.of(waiting);
    }

    /** Returns the queued requests of a workspace for a target, ordered by rank. */
    Iterable<WaitingRequest> inOrder(String target, WorkspaceId workspace) {
        return queue(target, workspace);
    }

    /** Returns the first queued request of a workspace for a target. */
    Optional<WaitingRequest> head(String target, WorkspaceId workspace) {
        NavigableSet<WaitingRequest> queue = queue(target, workspace);
        return queue.isEmpty() ? Optional.empty() : Optional.of(queue.first());
    }

    /** Returns the queued requests whose deadline has passed. */
    List<WaitingRequest> expired(long nowMillis) {
        List<WaitingRequest> found = new ArrayList<>();
        for (WaitingRequest waiting : mByDeadline) {
            if (waiting.request().deadlineMillis() > nowMillis) {
                break;
            }
            found.add(waiting);
        }
        return found;
    }

    /** Returns the targets for which a request was ever queued. */
    Collection<String> targets() {
        return List.copyOf(mByTarget.keySet());
    }

    /** Returns the workspaces with queued requests for a target. */
    Collection<WorkspaceId> workspaces(String target) {
        return List.copyOf(mByTarget.getOrDefault(target, Map.of()).keySet());
    }

    /** Returns all queued requests for a target. */
    List<WaitingRequest> all(String target) {
        List<WaitingRequest> found = new ArrayList<>();
        mByTarget.getOrDefault(target, Map.of()).values().forEach(found::addAll);
        return found;
    }

    /** Returns whether a request is queued. */
    boolean contains(RequestId id) {
        return mById.containsKey(id);
    }

    /** Returns the number of queued requests of a workspace for a target. */
    int size(String target, WorkspaceId workspace) {
        return queue(target, workspace).size();
    }

    /** Returns how many requests of the same queue a new request would wait behind. */
    int countAhead(QueuedRequest request, long nowMillis) {
        WaitingRequest probe = new WaitingRequest(request, nowMillis, mNextSequence);
        return queue(request.target(), request.workspace()).headSet(probe).size();
    }

    /** Returns the number of queued requests of a workspace. */
    int size(WorkspaceId workspace) {
        return mSizes.getOrDefault(workspace, 0);
    }

    /** Returns the number of queued requests of the instance. */
    int size() {
        return mById.size();
    }

    private NavigableSet<WaitingRequest> queue(String target, WorkspaceId workspace) {
        NavigableSet<WaitingRequest> queue =
                mByTarget.getOrDefault(target, Map.of()).get(workspace);
        return queue == null ? EMPTY : queue;
    }
}
