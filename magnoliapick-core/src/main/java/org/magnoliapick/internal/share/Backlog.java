package org.magnoliapick.internal.share;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.magnoliapick.internal.share.RouterDemand.DemandEntry;
import org.magnoliapick.lib.WorkspaceId;

/**
 * The queues with ungranted requests for a pool, ordered by the normalised service of their
 * workspace and then by the rank of their first ungranted request.
 */
final class Backlog {
    /** Limits a search when the first entries cannot use any of the free slots. */
    private static final int MAX_ENTRIES_TRIED = 32;

    private static final Comparator<DemandEntry> BY_RANK =
            Comparator.comparingLong(DemandEntry::rankMillis)
                    .thenComparing(entry -> entry.router().id())
                    .thenComparing(entry -> entry.key().target());

    private final FairIndex mIndex;
    private final Map<WorkspaceId, TreeSet<DemandEntry>> mEntries = new HashMap<>();

    Backlog(FairIndex index) {
        mIndex = index;
    }

    /**
     * Applies a change to an entry and reorders it.
     *
     * @param backloggedElsewhere whether the workspace has requests waiting for a pool of another
     *     domain
     */
    void update(DemandEntry entry, boolean backloggedElsewhere, Runnable mutation) {
        WorkspaceId workspace = entry.key().workspace();
        TreeSet<DemandEntry> entries =
                mEntries.computeIfAbsent(workspace, id -> new TreeSet<>(BY_RANK));
        if (entry.demand() != null) {
            entries.remove(entry);
        }
        mutation.run();
        if (entry.ungranted() > 0) {
            entries.add(entry);
        }
        if (entries.isEmpty()) {
            mEntries.remove(workspace);
            mIndex.clearBacklogged(workspace);
        } else {
            mIndex.markBacklogged(workspace, backloggedElsewhere);
        }
    }

    /** Returns the first entry in fair order that passes the test. */
    Optional<DemandEntry> next(Predicate<DemandEntry> test) {
        int tries = 0;
        for (WorkspaceId workspace : mIndex.leastServedFirst()) {
            for (DemandEntry entry : mEntries.get(workspace)) {
                if (test.test(entry)) {
                    return Optional.of(entry);
                }
                if (++tries >= MAX_ENTRIES_TRIED) {
                    return Optional.empty();
                }
            }
        }
        return Optional.empty();
    }

    boolean isEmpty() {
        return mEntries.isEmpty();
    }

    boolean contains(WorkspaceId workspace) {
        return mEntries.containsKey(workspace);
    }
}
