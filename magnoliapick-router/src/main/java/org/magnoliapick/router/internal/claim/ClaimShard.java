package org.magnoliapick.router.internal.claim;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.magnoliapick.claim.ClaimAction;
import org.magnoliapick.claim.ClaimBatcher;
import org.magnoliapick.claim.ClaimCodec;
import org.magnoliapick.claim.ClaimEntry;
import org.magnoliapick.claim.ClaimShards;
import org.magnoliapick.claim.ClaimVerdict;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.lib.AttemptId;
import org.magnoliapick.ports.AppendResult;
import org.magnoliapick.ports.LogEntry;
import org.magnoliapick.ports.LogPage;
import org.magnoliapick.ports.LogService;
import org.magnoliapick.router.internal.supervisor.Part;

/** One claim stream of the log: reads it, and appends this instance's claims to it in batches. */
final class ClaimShard implements Part {
    private static final Logger LOG = System.getLogger(ClaimShard.class.getName());
    private static final Duration READ_WAIT = Duration.ofMillis(500);
    private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(1);
    private static final int PAGE_ENTRIES = 500;
    private static final long PAUSE_MILLIS = 100;

    private final int mShard;
    private final LogService mLog;
    private final Executor mAppends;
    private final InstantSource mClock;
    private final ClaimBatcher mBatcher;
    private final Map<AttemptId, Waiter> mWaiters = new HashMap<>();

    private record Waiter(
            Consumer<ClaimVerdict> onVerdict, BiConsumer<ErrorKind, Long> onRefused) {}

    ClaimShard(
            int shard,
            LogService log,
            Executor appends,
            InstantSource clock,
            ClaimBatcher batcher) {
        mShard = shard;
        mLog = log;
        mAppends = appends;
        mClock = clock;
        mBatcher = batcher;
    }

    @Override
    public String name() {
        return ClaimShards.streamOf(mShard);
    }

    @Override
    public void step() throws InterruptedException {
        Optional<LogPage> page = mLog.read(name(), nextOffset(), PAGE_ENTRIES, READ_WAIT);
        if (page.isEmpty()) {
            tick();
            Thread.sleep(PAUSE_MILLIS);
            return;
        }
        page.get().entries().forEach(this::take);
        tick();
    }

    /** Does what is due by time. */
    synchronized void tick() {
        perform(mBatcher.tick(mClock.millis()));
    }

    synchronized void claim(
            ClaimEntry.Claim claim,
            long giveUpAtMillis,
            Consumer<ClaimVerdict> onVerdict,
            BiConsumer<ErrorKind, Long> onRefused) {
        mWaiters.put(claim.claim(), new Waiter(onVerdict, onRefused));
        perform(mBatcher.add(claim, giveUpAtMillis, mClock.millis()));
    }

    synchronized void ended(ClaimEntry.Ended ended) {
        mWaiters.remove(ended.claim());
        perform(mBatcher.addOutcome(ended, mClock.millis()));
    }

    private synchronized long nextOffset() {
        return mBatcher.nextOffset();
    }

    private synchronized void take(LogEntry entry) {
        perform(
                mBatcher.handleRecord(
                        entry.offset(),
                        entry.appendedAtMillis(),
                        entry.payload(),
                        mClock.millis()));
    }

    private void perform(List<ClaimAction> actions) {
        actions.forEach(this::perform);
    }

    private void perform(ClaimAction action) {
        if (action instanceof ClaimAction.Append append) {
            mAppends.execute(() -> append(append));
        } else if (action instanceof ClaimAction.ReportVerdict decide) {
            Waiter waiter = mWaiters.remove(decide.claim());
            if (waiter != null) {
                mAppends.execute(() -> waiter.onVerdict().accept(decide.verdict()));
            }
        } else if (action instanceof ClaimAction.Refuse refuse) {
            Waiter waiter = mWaiters.remove(refuse.claim());
            if (waiter != null) {
                refuse(waiter);
            }
        }
    }

    private void refuse(Waiter waiter) {
        long waitMillis = ErrorKind.LOG_UNAVAILABLE.retryAfterMillis().orElse(0L);
        mAppends.execute(() -> waiter.onRefused().accept(ErrorKind.LOG_UNAVAILABLE, waitMillis));
    }

    private void append(ClaimAction.Append append) {
        byte[] payload = ClaimCodec.encode(append.batch());
        AppendResult result = mLog.append(name(), payload, APPEND_TIMEOUT);
        if (!(result instanceof AppendResult.Appended)) {
            LOG.log(Level.WARNING, "[claim] Append to {0} failed: {1}.", name(), result);
        }
        synchronized (this) {
            perform(report(append.number(), result));
        }
    }

    private List<ClaimAction> report(long number, AppendResult result) {
        long nowMillis = mClock.millis();
        if (result instanceof AppendResult.Appended) {
            return mBatcher.appendSucceeded(number, nowMillis);
        }
        return result instanceof AppendResult.Refused
                ? mBatcher.appendRefused(number, nowMillis)
                : mBatcher.appendUnknown(number, nowMillis);
    }
}
