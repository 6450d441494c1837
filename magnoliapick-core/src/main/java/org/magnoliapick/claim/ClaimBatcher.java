package org.magnoliapick.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliapick.lib.AttemptId;

/**
 * Batches the claims of one instance in one shard. A verdict is reported only after the claim was
 * read back from the log. At most one append is in flight.
 *
 * <p>An append whose response was lost is retried with the same claims; the ledger ignores
 * duplicates. For a claim that is abandoned after an append, the batcher appends an outcome, so
 * that a copy that reaches the log late cannot hold the key.
 */
public final class ClaimBatcher {
    /** The default minimum interval between two appends at present fleet sizes, in milliseconds. */
    public static final long DEFAULT_LINGER_MILLIS = 50;

    /**
     * The time after which a claim that was appended and not read back is appended again, in
     * milliseconds.
     */
    public static final long READ_BACK_TIMEOUT_MILLIS = 2_000;

    /** The delay of the next append after a failed one, in milliseconds. */
    public static final long BACKOFF_MILLIS = 250;

    /** The number of consecutive failed appends after which the log is considered unavailable. */
    public static final int FAILURES_UNTIL_UNAVAILABLE = 3;

    /** The interval between two appends that probe an unavailable log, in milliseconds. */
    public static final long PROBE_INTERVAL_MILLIS = 1_000;

    /** The maximum number of outcomes that wait for an append while the log is unavailable. */
    public static final int MAX_PENDING_OUTCOMES = 20_000;

    private final ClaimLedger mLedger;
    private final long mLingerMillis;
    private final Map<AttemptId, PendingClaim> mClaims = new LinkedHashMap<>();
    private final Map<AttemptId, ClaimEntry.Ended> mOutcomes = new LinkedHashMap<>();
    private final Map<Long, List<ClaimEntry>> mInFlight = new HashMap<>();
    private long mLastAppend;
    private long mNextAppendMillis;
    private int mConsecutiveFailures;

    /**
     * Creates the batcher of a shard.
     *
     * @param ledger the ledger of the shard; only this batcher applies records to it
     * @param lingerMillis the minimum interval between two appends, in milliseconds; the first
     *     claim after an idle period is appended at once, later ones are batched
     */
    public ClaimBatcher(ClaimLedger ledger, long lingerMillis) {
        mLedger = ledger;
        mLingerMillis = lingerMillis;
    }

    /** Returns the offset from which to read the stream. */
    public long nextOffset() {
        return mLedger.nextOffset();
    }

    /** Returns whether the log is considered unavailable. */
    public boolean isLogUnavailable() {
        return mConsecutiveFailures >= FAILURES_UNTIL_UNAVAILABLE;
    }

    /** Returns the number of claims without a verdict. */
    public int pendingClaims() {
        return mClaims.size();
    }

    /**
     * Adds a claim. While the log is unavailable, the claim is refused at once unless an append is
     * due that probes the log.
     *
     * @param giveUpAtMillis when to refuse the claim if it has no verdict; before the deadline of
     *     its request
     */
    public List<ClaimAction> add(ClaimEntry.Claim claim, long giveUpAtMillis, long nowMillis) {
        boolean probeDue = nowMillis >= mNextAppendMillis && mInFlight.isEmpty();
        if (isLogUnavailable() && !probeDue) {
            return List.of(new ClaimAction.Refuse(claim.claim()));
        }
        mClaims.put(claim.claim(), new PendingClaim(claim, nowMillis, giveUpAtMillis));
        return tick(nowMillis);
    }

    /** Adds the outcome of a claim. This withdraws a claim that has no verdict yet. */
    public List<ClaimAction> addOutcome(ClaimEntry.Ended ended, long nowMillis) {
        PendingClaim pending = mClaims.remove(ended.claim());
        boolean neverAppended = pending != null && !pending.mMayBeInLog;
        if (!neverAppended && mOutcomes.size() < MAX_PENDING_OUTCOMES) {
            mOutcomes.putIfAbsent(ended.claim(), ended);
        }
        return tick(nowMillis);
    }

    /** Handles an append that the log accepted. */
    public List<ClaimAction> appendSucceeded(long number, long nowMillis) {
        if (mInFlight.remove(number) != null) {
            mConsecutiveFailures = 0;
        }
        return tick(nowMillis);
    }

    /** Handles an append that the log refused: it added no entries to the log. */
    public List<ClaimAction> appendRefused(long number, long nowMillis) {
        return appendFailed(number, nowMillis);
    }

    /** Handles an append whose response was lost: its entries may be in the log. */
    public List<ClaimAction> appendUnknown(long number, long nowMillis) {
        return appendFailed(number, nowMillis);
    }

    private List<ClaimAction> appendFailed(long number, long nowMillis) {
        List<ClaimEntry> entries = mInFlight.remove(number);
        if (entries != null) {
            mConsecutiveFailures++;
            mNextAppendMillis =
                    nowMillis + (isLogUnavailable() ? PROBE_INTERVAL_MILLIS : BACKOFF_MILLIS);
            entries.forEach(this::appendAgain);
        }
        return tick(nowMillis);
    }

    private void appendAgain(ClaimEntry entry) {
        PendingClaim pending = mClaims.get(entry.claim());
        if (entry instanceof ClaimEntry.Claim && pending != null) {
            pending.mAppendDue = true;
        } else if (entry instanceof ClaimEntry.Ended ended) {
            mOutcomes.putIfAbsent(ended.claim(), ended);
        }
    }

    /**
     * Handles a record read from the stream of the shard. Records must be passed in the order of
     * their offsets.
     *
     * @param offset the offset of the record
     * @param appendedAtMillis when the log accepted the record, by the log's clock
     * @param payload the payload of the record
     */
    public List<ClaimAction> handleRecord(
            long offset, long appendedAtMillis, byte[] payload, long nowMillis) {
        Optional<ClaimBatch> batch = Optional.empty();
        if (ClaimCodec.decode(payload) instanceof ClaimDecoding.Decoded decoded) {
            batch = Optional.of(decoded.batch());
        }
        if (!mLedger.apply(offset, appendedAtMillis, batch)) {
            return List.of();
        }
        List<ClaimAction> actions = new ArrayList<>();
        batch.ifPresent(present -> reportVerdicts(present, actions));
        actions.addAll(tick(nowMillis));
        return actions;
    }

    private void reportVerdicts(ClaimBatch batch, List<ClaimAction> actions) {
        for (ClaimEntry entry : batch.entries()) {
            if (entry instanceof ClaimEntry.Claim claim && mClaims.remove(claim.claim()) != null) {
                actions.add(new ClaimAction.ReportVerdict(claim.claim(), mLedger.verdict(claim)));
            }
        }
    }

    /**
     * Refuses expired claims and appends a batch if one is due. Must be called about once in every
     * linger interval.
     */
    public List<ClaimAction> tick(long nowMillis) {
        List<ClaimAction> actions = new ArrayList<>();
        refuseExpired(nowMillis, actions);
        if (mInFlight.isEmpty() && nowMillis >= mNextAppendMillis) {
            append(nowMillis, actions);
        }
        return actions;
    }

    private void refuseExpired(long nowMillis, List<ClaimAction> actions) {
        Iterator<PendingClaim> claims = mClaims.values().iterator();
        while (claims.hasNext()) {
            PendingClaim pending = claims.next();
            if (nowMillis >= pending.mGiveUpAtMillis) {
                claims.remove();
                actions.add(new ClaimAction.Refuse(pending.mClaim.claim()));
                releaseKey(pending);
            }
        }
    }

    private void releaseKey(PendingClaim pending) {
        ClaimEntry.Claim claim = pending.mClaim;
        if (pending.mMayBeInLog && mOutcomes.size() < MAX_PENDING_OUTCOMES) {
            mOutcomes.putIfAbsent(
                    claim.claim(),
                    new ClaimEntry.Ended(claim.key(), claim.claim(), ClaimOutcome.NOT_RUN));
        }
    }

    private void append(long nowMillis, List<ClaimAction> actions) {
        List<ClaimEntry> entries = new ArrayList<>();
        Iterator<ClaimEntry.Ended> outcomes = mOutcomes.values().iterator();
        while (outcomes.hasNext() && entries.size() < ClaimCodec.MAX_ENTRIES) {
            entries.add(outcomes.next());
            outcomes.remove();
        }
        for (PendingClaim pending : mClaims.values()) {
            if (entries.size() < ClaimCodec.MAX_ENTRIES && pending.startAppendIfDue(nowMillis)) {
                entries.add(pending.mClaim);
            }
        }
        if (!entries.isEmpty()) {
            mLastAppend++;
            mNextAppendMillis = nowMillis + mLingerMillis;
            mInFlight.put(mLastAppend, entries);
            actions.add(new ClaimAction.Append(mLastAppend, new ClaimBatch(entries)));
        }
    }

    /** A claim of this instance that has no verdict yet. */
    private static final class PendingClaim {
        private final ClaimEntry.Claim mClaim;
        private final long mGiveUpAtMillis;
        private boolean mAppendDue = true;
        private boolean mMayBeInLog;
        private long mAppendedAtMillis;

        PendingClaim(ClaimEntry.Claim claim, long nowMillis, long giveUpAtMillis) {
            mClaim = claim;
            mAppendedAtMillis = nowMillis;
            mGiveUpAtMillis = giveUpAtMillis;
        }

        /** Marks the claim as appended and returns true if an append of it is due. */
        boolean startAppendIfDue(long nowMillis) {
            if (!mAppendDue && nowMillis - mAppendedAtMillis < READ_BACK_TIMEOUT_MILLIS) {
                return false;
            }
            mAppendDue = false;
            mMayBeInLog = true;
            mAppendedAtMillis = nowMillis;
            return true;
        }
    }
}
