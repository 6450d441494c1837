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
 * The state of the claims of one shard: a fold over its stream, a function of the entries alone.
 *
 * <p>The claim with the lowest offset holds its key. A claim that finds its key held has lost for
 * good. Only the holder's own entry frees a key. Age is measured by the log's clock, so that all
 * readers forget a key at the same entry.
 */
public final class ClaimLedger {
    private final long mWindowMillis;
    private final long mMaxRunMillis;
    private final Map<ClaimKey, Holder> mHolders = new HashMap<>();
    private final Set<AttemptId> mEnded = new HashSet<>();
    private final Deque<Expiry> mExpiries = new ArrayDeque<>();
    private long mNextOffset;
    private long mLogMillis;

    /**
     * Creates an empty ledger.
     *
     * @param windowMillis how long a key is remembered after its claim; less than the log's
     *     retention, more than any deadline
     * @param maxRunMillis the longest time from a claim to its end; later than that, a claim
     *     without an end is answered as unknown
     */
    public ClaimLedger(long windowMillis, long maxRunMillis) {
        mWindowMillis = windowMillis;
        mMaxRunMillis = maxRunMillis;
    }

    /** Returns the offset that the next entry to fold should have. */
    public long nextOffset() {
        return mNextOffset;
    }

    /** Returns the number of keys remembered. */
    public int size() {
        return mHolders.size();
    }

    /**
     * Folds a record of the log. A record that was folded before is ignored.
     *
     * @param offset its offset
     * @param appendedAtMillis when the log took it, by the log's clock
     * @param batch its entries; empty for a record that holds no batch
     * @return whether the record was new
     */
    public boolean apply(long offset, long appendedAtMillis, Optional<ClaimBatch> batch) {
        if (offset < mNextOffset) {
            return false;
        }
        mNextOffset = offset + 1;
        mLogMillis = Math.max(mLogMillis, appendedAtMillis);
        forgetExpired();
        batch.ifPresent(this::foldEntries);
        return true;
    }

    private void foldEntries(ClaimBatch batch) {
        for (ClaimEntry entry : batch.entries()) {
            if (entry instanceof ClaimEntry.Claim claim) {
                foldClaim(claim);
            } else if (entry instanceof ClaimEntry.Ended ended) {
                foldEnded(ended);
            }
        }
    }

    private void foldClaim(ClaimEntry.Claim claim) {
        if (mEnded.contains(claim.claim())) {
            return;
        }
        Holder holder = mHolders.get(claim.key());
        if (holder == null) {
            mHolders.put(claim.key(), new Holder(claim, mLogMillis, Optional.empty()));
            remember(claim.key(), claim.claim());
        } else if (!holder.claim().claim().equals(claim.claim())) {
            // A second copy of this claim must not take the key after the holder has freed it.
            close(claim);
        }
    }

    private void foldEnded(ClaimEntry.Ended ended) {
        Holder holder = mHolders.get(ended.key());
        boolean held = holder != null && holder.claim().claim().equals(ended.claim());
        if (held && holder.outcome().isEmpty()) {
            end(ended, holder);
        }
        if (!held && ended.outcome() == ClaimOutcome.NOT_RUN) {
            // The claim itself may still arrive late; it must not take the key then.
            close(ended);
        }
    }

    private void close(ClaimEntry entry) {
        if (mEnded.add(entry.claim())) {
            remember(entry.key(), entry.claim());
        }
    }

    private void end(ClaimEntry.Ended ended, Holder holder) {
        if (ended.outcome() == ClaimOutcome.NOT_RUN) {
            mHolders.remove(ended.key());
            close(ended);
        } else {
            mHolders.put(ended.key(), holder.ended(ended.outcome()));
        }
    }

    private void remember(ClaimKey key, AttemptId claim) {
        mExpiries.addLast(new Expiry(mLogMillis + mWindowMillis, key, claim));
    }

    private void forgetExpired() {
        while (!mExpiries.isEmpty() && mExpiries.getFirst().atMillis() <= mLogMillis) {
            Expiry expired = mExpiries.removeFirst();
            mEnded.remove(expired.claim());
            mHolders.computeIfPresent(
                    expired.key(),
                    (key, holder) ->
                            holder.claim().claim().equals(expired.claim()) ? null : holder);
        }
    }

    /**
     * Returns the verdict on a claim that was read back from the log.
     *
     * @param claim a claim among the entries folded so far
     */
    public ClaimVerdict verdict(ClaimEntry.Claim claim) {
        Holder holder = mHolders.get(claim.key());
        if (holder == null) {
            return new ClaimVerdict.OutcomeUnknown();
        }
        if (holder.claim().claim().equals(claim.claim())) {
            return new ClaimVerdict.Won();
        }
        return losing(holder, claim);
    }

    private ClaimVerdict losing(Holder holder, ClaimEntry.Claim claim) {
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

    /** Returns the instance that holds a key, if one does. */
    public Optional<InstanceId> holderOf(ClaimKey key) {
        return Optional.ofNullable(mHolders.get(key)).map(holder -> holder.claim().instance());
    }

    private record Holder(
            ClaimEntry.Claim claim, long claimedAtMillis, Optional<ClaimOutcome> outcome) {
        Holder ended(ClaimOutcome how) {
            return new Holder(claim, claimedAtMillis, Optional.of(how));
        }
    }

    private record Expiry(long atMillis, ClaimKey key, AttemptId claim) {}
}
