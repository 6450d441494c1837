package org.magnoliapick.router.internal.claim;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.magnoliapick.claim.ClaimBatcher;
import org.magnoliapick.claim.ClaimEntry;
import org.magnoliapick.claim.ClaimKey;
import org.magnoliapick.claim.ClaimLedger;
import org.magnoliapick.claim.ClaimOutcome;
import org.magnoliapick.claim.ClaimShards;
import org.magnoliapick.claim.ClaimVerdict;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.lib.AttemptId;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.ports.LogService;
import org.magnoliapick.router.ClaimSettings;
import org.magnoliapick.router.LimitSettings;
import org.magnoliapick.router.internal.RouterIdentity;
import org.magnoliapick.router.internal.RouterThreads;
import org.magnoliapick.router.internal.caller.CallerRequest;
import org.magnoliapick.router.internal.caller.Claims;
import org.magnoliapick.router.internal.caller.KeptAnswer;
import org.magnoliapick.router.internal.supervisor.Supervisor;

/** Carries claims through the log's claim streams. */
@Singleton
public final class LogClaims implements Claims {
    /** How long a claim may wait for the log, in milliseconds. */
    private static final long PATIENCE_MILLIS = 2_000;

    private final RouterIdentity mSelf;
    private final KeptAnswers mKept;
    private final RouterThreads mThreads;
    private final List<ClaimShard> mShards = new ArrayList<>();

    @Inject
    LogClaims(
            RouterIdentity self,
            LogService log,
            ClaimSettings settings,
            LimitSettings limits,
            KeptAnswers kept,
            RouterThreads threads,
            InstantSource clock) {
        mSelf = self;
        mKept = kept;
        mThreads = threads;
        long windowMillis = settings.window.toMilliseconds();
        long maxRunMillis = limits.drainTime.toMilliseconds();
        for (int shard = 0; shard < settings.shards; shard++) {
            ClaimLedger ledger = new ClaimLedger(windowMillis, maxRunMillis);
            ClaimBatcher batcher = new ClaimBatcher(ledger, settings.linger.toMilliseconds());
            mShards.add(new ClaimShard(shard, log, threads.writers(), clock, batcher));
        }
        mThreads.every(settings.linger.toMilliseconds(), this::tick);
    }

    /** Returns the supervisor of the threads that read the claim streams. */
    public Supervisor supervisor() {
        Supervisor supervisor = new Supervisor("claims");
        mShards.forEach(supervisor::with);
        return supervisor;
    }

    @Override
    public void claim(
            CallerRequest request,
            AttemptId claim,
            Consumer<ClaimVerdict> onVerdict,
            BiConsumer<ErrorKind, Long> onRefused) {
        ClaimKey key = keyOf(request);
        ClaimEntry.Claim entry =
                new ClaimEntry.Claim(key, claim, mSelf.id(), digestOf(request.content()));
        shardOf(key).claim(entry, giveUpAtMillis(request), onVerdict, onRefused);
    }

    @Override
    public void recordOutcome(CallerRequest request, AttemptId claim, ClaimOutcome outcome) {
        ClaimKey key = keyOf(request);
        shardOf(key).ended(new ClaimEntry.Ended(key, claim, outcome));
    }

    @Override
    public void keep(AttemptId claim, KeptAnswer answer) {
        mKept.keep(claim, answer);
    }

    @Override
    public void fetchKept(
            InstanceId holder, AttemptId claim, Consumer<Optional<KeptAnswer>> onAnswer) {
        mKept.fetch(holder, claim)
                .whenCompleteAsync(
                        (answer, failure) ->
                                onAnswer.accept(failure == null ? answer : Optional.empty()),
                        mThreads.writers());
    }

    /** Leaves time for the answer that a caller understands, before its deadline passes. */
    private static long giveUpAtMillis(CallerRequest request) {
        long halfMillis = (request.deadlineMillis() - request.arrivedMillis()) / 2;
        return request.arrivedMillis() + Math.min(PATIENCE_MILLIS, halfMillis);
    }

    private void tick() {
        mShards.forEach(ClaimShard::tick);
    }

    private ClaimShard shardOf(ClaimKey key) {
        return mShards.get(ClaimShards.shardOf(key, mShards.size()));
    }

    private static ClaimKey keyOf(CallerRequest request) {
        return new ClaimKey(request.workspace(), request.idempotencyKey().orElseThrow());
    }

    private static String digestOf(CallerRequest.Content content) {
        Hasher hasher = Hashing.sha256().newHasher();
        hasher.putString(content.method() + " " + content.path() + "\n", StandardCharsets.UTF_8);
        hasher.putBytes(content.body());
        return hasher.hash().toString();
    }
}
