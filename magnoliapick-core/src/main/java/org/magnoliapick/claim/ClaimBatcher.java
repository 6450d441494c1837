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
 * One instance's claims in one shard: collects them, decides when to append a batch, and gives a
 * verdict only after a claim was read back from the log. At most one append is under way.
 *
 * <p>An append whose answer was lost is made again with the same claims; the fold ignores second
 * copies. A claim that is given up is closed by an entry of its own, so that a copy that arrives
 * late cannot hold its key.
 */
public final class ClaimBatcher {
    /** The least distance of two appends at today's sizes, in milliseconds. */
    public static final long DEFAULT_LINGER_MILLIS = 50;

    /** The time after which an entry that was appended and not read back is appended again. */
    public static final long READ_BACK_TIMEOUT_MILLIS = 2_000;

    /** The least distance of two appends after a failed one, in milliseconds. */
    public static final long BACKOFF_MILLIS = 250;

    /** Failed appends in a row after which the log counts as out. */
    public static final int FAILURES_UNTIL_UNAVAILABLE = 3;

    /** The distance of two trial appends while the log counts as out, in milliseconds. */
    public static final long PROBE_INTERVAL_MILLIS = 1_000;

    /** The most outcomes kept for appending while the log is out. */
    public static final int MAX_PENDING_OUTCOMES = 20_000;

    private final ClaimLedger mLedger;
    private final long mLingerMillis;
    private final Map<AttemptId, Waiting> mClaims = new LinkedHashMap<>();
    private final Map<AttemptId, ClaimEntry.Ended> mOutcomes = new LinkedHashMap<>();
    private final Map<Long, List<ClaimEntry>> mInFlight = new HashMap<>();
    private long mNumber;
    private long mNotBeforeMillis;
    private int mFailuresInRow;

    /**
     * Creates the batcher of a shard over the shard's ledger, which only it feeds.
     *
     * @param lingerMillis the least distance of two appends; the first claim after a quiet time is
     *     appended at once, later ones are collected
     */
    public ClaimBatcher(ClaimLedger ledger, long lingerMillis) {
        mLedger = ledger;
        mLingerMillis = lingerMillis;
    }

    /** Returns the offset to read the stream from. */
    public long nextOffset() {
        return mLedger.nextOffset();
    }

    /** Returns whether the log counts as out. */
    public boolean isLogUnavailable() {
        return mFailuresInRow >= FAILURES_UNTIL_UNAVAILABLE;
    }

    /** Returns the number of claims without a verdict. */
    public int pendingClaims() {
        return mClaims.size();
    }

    /**
     * Takes a claim.
     *
     * @param giveUpAtMillis when to refuse it if it is not decided; before its request's deadline
     */
    public List<ClaimAction> add(ClaimEntry.Claim claim, long giveUpAtMillis, long nowMillis) {
        boolean trialDue = nowMillis >= mNotBeforeMillis && mInFlight.isEmpty();
        if (isLogUnavailable() && !trialDue) {
            return List.of(new ClaimAction.Refuse(claim.claim()));
        }
        mClaims.put(claim.claim(), new Waiting(claim, nowMillis, giveUpAtMillis));
        return tick(nowMillis);
    }

    /** Takes the outcome of a claim; for one without a verdict this withdraws it. */
    public List<ClaimAction> addOutcome(ClaimEntry.Ended ended, long nowMillis) {
        Waiting waiting = mClaims.remove(ended.claim());
        boolean neverAppended = waiting != null && !waiting.mMayBeInLog;
        if (!neverAppended && mOutcomes.size() < MAX_PENDING_OUTCOMES) {
            mOutcomes.putIfAbsent(ended.claim(), ended);
        }
        return tick(nowMillis);
    }

    /** Takes note that the log took an append. */
    public List<ClaimAction> appendSucceeded(long number, long nowMillis) {
        if (mInFlight.remove(number) != null) {
            mFailuresInRow = 0;
        }
        return tick(nowMillis);
    }

    /** Takes note that the log refused an append: its entries are not in the log through it. */
    public List<ClaimAction> appendRefused(long number, long nowMillis) {
        return appendFailed(number, nowMillis);
    }

    /** Takes note that the answer to an append was lost: its entries may be in the log. */
    public List<ClaimAction> appendUnknown(long number, long nowMillis) {
        return appendFailed(number, nowMillis);
    }

    private List<ClaimAction> appendFailed(long number, long nowMillis) {
        List<ClaimEntry> entries = mInFlight.remove(number);
        if (entries != null) {
            mFailuresInRow++;
            mNotBeforeMillis = nowMillis + (isLogUnavailable() ? PROBE_INTERVAL_MILLIS : BACKOFF_MILLIS);
            entries.forEach(this::appendAgain);
        }
        return tick(nowMillis);
    }

    private void appendAgain(ClaimEntry entry) {
        Waiting waiting = mClaims.get(entry.claim());
        if (entry instanceof ClaimEntry.Claim && waiting != null) {
            waiting.mAppendDue = true;
        } else if (entry instanceof ClaimEntry.Ended ended) {
            mOutcomes.putIfAbsent(ended.claim(), ended);
        }
    }

    /**
     * Takes a record read from the shard's stream. Records must come in order of their offsets.
     *
     * @param offset its offset
     * @param appendedAtMillis when the log took it, by the log's clock
     * @param payload its bytes
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
        batch.ifPresent(present -> decideOwn(present, actions));
        actions.addAll(tick(nowMillis));
        return actions;
    }

    private void decideOwn(ClaimBatch batch, List<ClaimAction> actions) {
        for (ClaimEntry entry : batch.entries()) {
            if (entry instanceof ClaimEntry.Claim claim && mClaims.remove(claim.claim()) != null) {
                actions.add(new ClaimAction.ReportVerdict(claim.claim(), mLedger.verdict(claim)));
            }
        }
    }

    /** Does what is due by time. To be called about every the linger time. */
    public List<ClaimAction> tick(long nowMillis) {
        List<ClaimAction> actions = new ArrayList<>();
        giveUp(nowMillis, actions);
        if (mInFlight.isEmpty() && nowMillis >= mNotBeforeMillis) {
            append(nowMillis, actions);
        }
        return actions;
    }

    private void giveUp(long nowMillis, List<ClaimAction> actions) {
        Iterator<Waiting> each = mClaims.values().iterator();
        while (each.hasNext()) {
            Waiting waiting = each.next();
            if (nowMillis >= waiting.mGiveUpAtMillis) {
                each.remove();
                actions.add(new ClaimAction.Refuse(waiting.mClaim.claim()));
                close(waiting);
            }
        }
    }

    private void close(Waiting waiting) {
        ClaimEntry.Claim claim = waiting.mClaim;
        if (waiting.mMayBeInLog && mOutcomes.size() < MAX_PENDING_OUTCOMES) {
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
        for (Waiting waiting : mClaims.values()) {
            if (entries.size() < ClaimCodec.MAX_ENTRIES && waiting.takeForAppend(nowMillis)) {
                entries.add(waiting.mClaim);
            }
        }
        if (!entries.isEmpty()) {
            mNumber++;
            mNotBeforeMillis = nowMillis + mLingerMillis;
            mInFlight.put(mNumber, entries);
            actions.add(new ClaimAction.Append(mNumber, new ClaimBatch(entries)));
        }
    }

    /** A claim of this instance that has no verdict yet. */
    private static final class Waiting {
        private final ClaimEntry.Claim mClaim;
        private final long mGiveUpAtMillis;
        private boolean mAppendDue = true;
        private boolean mMayBeInLog;
        private long mAppendedAtMillis;

        Waiting(ClaimEntry.Claim claim, long nowMillis, long giveUpAtMillis) {
            mClaim = claim;
            mAppendedAtMillis = nowMillis;
            mGiveUpAtMillis = giveUpAtMillis;
        }

        boolean takeForAppend(long nowMillis) {
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
