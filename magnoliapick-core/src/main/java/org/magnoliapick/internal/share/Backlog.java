package org.magnoliapick.internal.share;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.magnoliapick.internal.share.RouterDemand.DemandEntry;
import org.magnoliapick.lib.WorkspaceId;

/** The demand that waits for a pool: the least served workspace first, then its oldest request. */
final class Backlog {
    /** How many workspaces are tried for a slot that the first ones cannot use. */
    private static final int MAX_TRIES = 32;

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
     * Changes an entry and moves it to its new place.
     *
     * @param elsewhere whether its workspace has requests waiting for another pool
     */
    void update(DemandEntry entry, boolean elsewhere, Runnable step) {
        WorkspaceId workspace = entry.key().workspace();
        TreeSet<DemandEntry> entries =
                mEntries.computeIfAbsent(workspace, id -> new TreeSet<>(BY_RANK));
        if (entry.demand() != null) {
            entries.remove(entry);
        }
        step.run();
        if (entry.ungranted() > 0) {
            entries.add(entry);
        }
        if (entries.isEmpty()) {
            mEntries.remove(workspace);
            mIndex.clearBacklogged(workspace);
        } else {
            mIndex.markBacklogged(workspace, elsewhere);
        }
    }

    /** Finds the entry whose turn it is among those that pass the test. */
    Optional<DemandEntry> next(Predicate<DemandEntry> test) {
        int tries = 0;
        for (WorkspaceId workspace : mIndex.leastServedFirst()) {
            for (DemandEntry entry : mEntries.get(workspace)) {
                if (test.test(entry)) {
                    return Optional.of(entry);
                }
                if (++tries >= MAX_TRIES) {
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
