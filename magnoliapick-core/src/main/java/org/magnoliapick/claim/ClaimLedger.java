package org.magnoliapick.claim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliapick.lib.AttemptId;
import org.magnoliapick.lib.InstanceId;

/**
 * The claims of one shard, computed from the records of its stream alone, so that all readers
 * agree.
 *
 * <p>The claim with the lowest offset holds its key. A claim whose key is already held has lost
 * permanently. Before it expires, a key is released only by an entry that ends the holder's claim
 * as not run. Age is measured by the log's clock, so that all readers forget a key at the same
 * record.
 */
public final class ClaimLedger {
    private final long mWindowMillis;
    private final long mMaxRunMillis;
    private final Map<ClaimKey, Holder> mHolders = new HashMap<>();

    /** The claims that can no longer hold their key: they lost it or ended as not run. */
    private final Set<AttemptId> mClosed = new HashSet<>();

    private final Deque<Expiry> mExpiries = new ArrayDeque<>();
    private long mNextOffset;
    private long mLogMillis;

    /**
     * Creates an empty ledger.
     *
     * @param windowMillis how long a key is remembered after its claim, in milliseconds; shorter
     *     than the retention of the log and longer than any deadline
     * @param maxRunMillis the maximum time from a claim to its end, in milliseconds; a claim
     *     without an end after that time has an unknown outcome
     */
    public ClaimLedger(long windowMillis, long maxRunMillis) {
        mWindowMillis = windowMillis;
        mMaxRunMillis = maxRunMillis;
    }

    /** Returns the expected offset of the next record. */
    public long nextOffset() {
        return mNextOffset;
    }

    /** Returns the number of keys remembered. */
    public int size() {
        return mHolders.size();
    }

    /**
     * Applies a record of the log. A record that was already applied is ignored.
     *
     * @param offset the offset of the record
     * @param appendedAtMillis when the log accepted the record, by the log's clock
     * @param batch the decoded batch; empty for a record that is not a valid batch
     * @return whether the record was new
     */
    public boolean apply(long offset, long appendedAtMillis, Optional<ClaimBatch> batch) {
        if (offset < mNextOffset) {
            return false;
        }
        mNextOffset = offset + 1;
        mLogMillis = Math.max(mLogMillis, appendedAtMillis);
        removeExpired();
        batch.ifPresent(this::applyEntries);
        return true;
    }

    private void applyEntries(ClaimBatch batch) {
        for (ClaimEntry entry : batch.entries()) {
            if (entry instanceof ClaimEntry.Claim claim) {
                applyClaim(claim);
            } else if (entry instanceof ClaimEntry.Ended ended) {
                applyEnded(ended);
            }
        }
    }

    private void applyClaim(ClaimEntry.Claim claim) {
        if (mClosed.contains(claim.claim())) {
            return;
        }
        Holder holder = mHolders.get(claim.key());
        if (holder == null) {
            mHolders.put(claim.key(), new Holder(claim, mLogMillis, Optional.empty()));
            scheduleExpiry(claim.key(), claim.claim());
        } else if (!holder.claim().claim().equals(claim.claim())) {
            // A duplicate of this claim must not take the key after the holder has released it.
            close(claim);
        }
    }

    private void applyEnded(ClaimEntry.Ended ended) {
        Holder holder = mHolders.get(ended.key());
        boolean held = holder != null && holder.claim().claim().equals(ended.claim());
        if (held && holder.outcome().isEmpty()) {
            endHolder(ended, holder);
        }
        if (!held && ended.outcome() == ClaimOutcome.NOT_RUN) {
            // The claim itself may follow in a later record and must not take the key then.
            close(ended);
        }
    }

    private void close(ClaimEntry entry) {
        if (mClosed.add(entry.claim())) {
            scheduleExpiry(entry.key(), entry.claim());
        }
    }

    private void endHolder(ClaimEntry.Ended ended, Holder holder) {
        if (ended.outcome() == ClaimOutcome.NOT_RUN) {
            mHolders.remove(ended.key());
            close(ended);
        } else {
            mHolders.put(ended.key(), holder.withOutcome(ended.outcome()));
        }
    }

    private void scheduleExpiry(ClaimKey key, AttemptId claim) {
        mExpiries.addLast(new Expiry(mLogMillis + mWindowMillis, key, claim));
    }

    private void removeExpired() {
        while (!mExpiries.isEmpty() && mExpiries.getFirst().atMillis() <= mLogMillis) {
            Expiry expired = mExpiries.removeFirst();
            mClosed.remove(expired.claim());
            mHolders.computeIfPresent(
                    expired.key(),
                    (key, holder) ->
                            holder.claim().claim().equals(expired.claim()) ? null : holder);
        }
    }

    /**
     * Returns the verdict on a claim that was read back from the log.
     *
     * @param claim a claim from a record that was already applied
     */
    public ClaimVerdict verdict(ClaimEntry.Claim claim) {
        Holder holder = mHolders.get(claim.key());
        if (holder == null) {
            // This claim was closed, or its key was released or has expired.
            return new ClaimVerdict.OutcomeUnknown();
        }
        if (holder.claim().claim().equals(claim.claim())) {
            return new ClaimVerdict.Won();
        }
        return losingVerdict(holder, claim);
    }

    private ClaimVerdict losingVerdict(Holder holder, ClaimEntry.Claim claim) {
        if (!holder.claim().digest().equals(claim.digest())) {
            return new ClaimVerdict.KeyReused();
        }
        InstanceId instance = holder.claim().instance();
        if (holder.outcome().isEmpty() && mLogMillis - holder.claimedAtMillis() <= mMaxRunMillis) {
            return new ClaimVerdict.InProgress(instance, holder.claim().claim());
        }
        return holder.outcome().filter(outcome -> outcome == ClaimOutcome.DONE).isPresent()
                ? new ClaimVerdict.AlreadyRun(instance, holder.claim().claim())
                : new ClaimVerdict.OutcomeUnknown();
    }

    /** Returns the instance whose claim holds the key, if there is one. */
    public Optional<InstanceId> holderOf(ClaimKey key) {
        return Optional.ofNullable(mHolders.get(key)).map(holder -> holder.claim().instance());
    }

    private record Holder(
            ClaimEntry.Claim claim, long claimedAtMillis, Optional<ClaimOutcome> outcome) {
        Holder withOutcome(ClaimOutcome newOutcome) {
            return new Holder(claim, claimedAtMillis, Optional.of(newOutcome));
        }
    }

    private record Expiry(long atMillis, ClaimKey key, AttemptId claim) {}
}
