package org.magnoliapick.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliapick.lib.ChangeLog;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.member.StorePosition;

/**
 * Decides which failure domains are evacuated, when an operator takes a whole domain out of use
 * under load: all instances have to stop sending there, and to begin again, at nearly the same
 * time. The newest record of a domain decides, whether it was read here or at another instance, so
 * order and repetition of records and messages do not matter.
 *
 * <p>A record of a later epoch of the store's logs is newer than any of a former epoch. If the
 * store was restored from a copy that lacks the record of an evacuated domain, the domain stays
 * evacuated until a record of it is read in the present epoch: the copy is older than the
 * operator's request, and sending to a domain that is about to go down loses requests, whereas not
 * sending only costs capacity. A record that the copy holds decides even if it was superseded
 * before the restore, because an instance that starts now knows nothing else.
 */
public final class EvacuatedDomains {
    /** The maximum number of domains that are known, so that wrong keys cannot use up the heap. */
    static final int MAX_DOMAINS = 1_024;

    private static final Comparator<DomainEvacuation> OLDEST_FIRST =
            Comparator.comparingLong(DomainEvacuation::epoch)
                    .thenComparingLong(DomainEvacuation::offset);

    private final Map<FailureDomain, DomainEvacuation> mStates = new HashMap<>();
    private final ChangeLog<FailureDomain> mChangeLog = new ChangeLog<>();
    private final List<EvacuationChange> mChanges = new ArrayList<>();

    /** The epoch of the last snapshot, and the offset where the topic ended then. */
    private long mSnapshotEpoch = StorePosition.NONE;

    private long mSnapshotEndOffset = StorePosition.NONE;

    /** Returns whether nothing more may be sent to the upstreams of a domain. */
    public boolean contains(FailureDomain domain) {
        DomainEvacuation state = mStates.get(domain);
        return state != null && state.evacuated();
    }

    /** Returns the number of evacuated domains. */
    public long count() {
        return mStates.values().stream().filter(DomainEvacuation::evacuated).count();
    }

    /**
     * Applies a record that was read from the store, unless it is outdated; returns whether the
     * evacuated domains changed.
     */
    public boolean apply(DomainEvacuation record) {
        return put(record, "record " + record.offset());
    }

    /**
     * Applies a snapshot: the domains of which it holds no record are no longer evacuated, because
     * their keys were removed, unless they were evacuated after it or in a former epoch. Returns
     * whether the evacuated domains changed.
     *
     * @param records the newest records of the keys that exist
     * @param endOffset where the topic ended when the reading of the snapshot began
     */
    public boolean applySnapshot(Collection<DomainEvacuation> records, long epoch, long endOffset) {
        Set<FailureDomain> present = new HashSet<>();
        boolean changed = false;
        for (DomainEvacuation record : records) {
            present.add(record.domain());
            changed |= apply(record);
        }
        boolean outdated = epoch == mSnapshotEpoch && endOffset < mSnapshotEndOffset;
        if (epoch < mSnapshotEpoch || outdated) {
            return changed;
        }
        mSnapshotEpoch = epoch;
        mSnapshotEndOffset = endOffset;
        for (DomainEvacuation state : List.copyOf(mStates.values())) {
            if (state.evacuated() && !present.contains(state.domain()) && isRemoved(state)) {
                changed |= put(removedBySnapshot(state.domain()), "snapshot up to " + endOffset);
            }
        }
        return changed;
    }

    /**
     * Applies what another instance knows; returns whether the evacuated domains changed. If the
     * last snapshot shows that a key was removed which the other instance still considers to exist,
     * the other one is told in turn.
     *
     * @param from the name of the instance
     */
    public boolean applyUpdate(EvacuationUpdate update, String from) {
        boolean changed = false;
        for (DomainEvacuation each : update.evacuations()) {
            boolean removed =
                    each.evacuated() && isRemoved(each) && !isEvacuatedInSnapshotEpoch(each);
            changed |= put(removed ? removedBySnapshot(each.domain()) : each, "instance " + from);
        }
        return changed;
    }

    /** Returns whether the last snapshot would hold a record if its key still existed. */
    private boolean isRemoved(DomainEvacuation state) {
        return state.epoch() == mSnapshotEpoch && state.offset() < mSnapshotEndOffset;
    }

    private boolean isEvacuatedInSnapshotEpoch(DomainEvacuation state) {
        DomainEvacuation known = mStates.get(state.domain());
        return known != null && known.evacuated() && known.epoch() == mSnapshotEpoch;
    }

    private DomainEvacuation removedBySnapshot(FailureDomain domain) {
        return new DomainEvacuation(domain, false, mSnapshotEpoch, mSnapshotEndOffset - 1);
    }

    private boolean put(DomainEvacuation state, String evidence) {
        DomainEvacuation known = mStates.get(state.domain());
        if (known != null && known.isAtLeastAsNewAs(state)) {
            return false;
        }
        if (known == null && mStates.size() == MAX_DOMAINS && !forgetRestored()) {
            mChanges.add(
                    new EvacuationChange(EvacuationChange.Kind.IGNORED, state, "too many domains"));
            return false;
        }
        boolean before = contains(state.domain());
        mStates.put(state.domain(), state);
        mChangeLog.changed(state.domain());
        if (before == state.evacuated()) {
            return false;
        }
        EvacuationChange.Kind kind =
                state.evacuated()
                        ? EvacuationChange.Kind.EVACUATED
                        : EvacuationChange.Kind.RESTORED;
        mChanges.add(new EvacuationChange(kind, state, evidence));
        return true;
    }

    /** Forgets the domain that was restored longest ago; returns whether there was one. */
    private boolean forgetRestored() {
        Optional<DomainEvacuation> oldest =
                mStates.values().stream().filter(each -> !each.evacuated()).min(OLDEST_FIRST);
        oldest.map(DomainEvacuation::domain)
                .ifPresent(
                        domain -> {
                            mStates.remove(domain);
                            mChangeLog.removed(domain);
                        });
        return oldest.isPresent();
    }

    /**
     * Returns what another instance lacks; empty if it knows everything.
     *
     * @param knownVersion the version up to which it knows what is known here
     */
    public Optional<EvacuationUpdate> updateFor(long knownVersion) {
        return mChangeLog
                .since(knownVersion)
                .map(
                        changes ->
                                new EvacuationUpdate(
                                        changes.version(),
                                        changes.keys().stream().map(mStates::get).toList()));
    }

    /** Returns the changes since the last call, for the log. */
    public List<EvacuationChange> takeChanges() {
        List<EvacuationChange> changes = List.copyOf(mChanges);
        mChanges.clear();
        return changes;
    }
}
