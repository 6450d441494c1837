package org.magnoliapick.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/** Runs a plan: every caller of every workspace in a thread of its own. */
public final class LoadRun {
    private static final long PROGRESS_MILLIS = 2_000;
    private static final double NANOS_PER_SECOND = 1e9;

    private final LoadPlan mPlan;
    private final LoadClient mClient;
    private final Balancer mBalancer;
    private final List<WorkspaceTally> mTallies;
    private final String mRunName = Long.toString(System.currentTimeMillis(), Character.MAX_RADIX);
    private final AtomicLong mNumber = new AtomicLong();
    private final Map<String, Told> mTold = new ConcurrentHashMap<>();
    private long mStartNanos;

    private record Told(Verdict verdict, WorkspaceTally tally) {}

    private LoadRun(LoadPlan plan, LoadClient client) {
        mPlan = plan;
        mClient = client;
        mBalancer = new Balancer(client, plan);
        mTallies = plan.workspaces().stream().map(WorkspaceTally::new).toList();
    }

    /**
     * Runs a plan to its end.
     *
     * @param progress takes a line every few seconds
     */
    public static LoadReport run(LoadPlan plan, Consumer<String> progress) throws Exception {
        try (LoadClient client = new LoadClient(plan.requestTimeoutMillis())) {
            return new LoadRun(plan, client).run(progress);
        }
    }

    private LoadReport run(Consumer<String> progress) throws InterruptedException {
        mBalancer.start();
        mStartNanos = System.nanoTime();
        List<Thread> callers = startCallers();
        for (Thread caller : callers) {
            while (caller.isAlive()) {
                caller.join(PROGRESS_MILLIS);
                if (caller.isAlive()) {
                    progress.accept(progressLine());
                }
            }
        }
        mBalancer.close();
        RunRecords records = RunRecords.read(mClient, mPlan);
        mTold.forEach((nonce, told) -> records.check(nonce, told.verdict(), told.tally()));
        return LoadReport.of(mTallies, records.isComplete(), seconds());
    }

    private List<Thread> startCallers() {
        List<Thread> callers = new ArrayList<>();
        for (WorkspaceTally tally : mTallies) {
            for (int i = 0; i < tally.plan().callers(); i++) {
                Random random = new Random(mPlan.seed() + callers.size());
                Thread caller = new Thread(() -> callUntilEnd(tally, random), "caller");
                callers.add(caller);
            }
        }
        callers.forEach(Thread::start);
        return callers;
    }

    private double seconds() {
        return (System.nanoTime() - mStartNanos) / NANOS_PER_SECOND;
    }

    private void callUntilEnd(WorkspaceTally tally, Random random) {
        try {
            while (seconds() < mPlan.seconds()) {
                callOnce(tally, pick(tally.plan().kinds(), random));
                Thread.sleep(tally.plan().pauseMillis());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static RequestKind pick(Map<String, Integer> kinds, Random random) {
        int sum = kinds.values().stream().mapToInt(Integer::intValue).sum();
        int point = random.nextInt(sum);
        for (Map.Entry<String, Integer> kind : kinds.entrySet()) {
            point -= kind.getValue();
            if (point < 0) {
                return RequestKind.ofWireName(kind.getKey()).orElseThrow();
            }
        }
        throw new IllegalStateException("No kind");
    }

    private void callOnce(WorkspaceTally tally, RequestKind kind) throws InterruptedException {
        RequestShape shape = kind.shape();
        String nonce = mRunName + "-" + mNumber.incrementAndGet();
        long startNanos = System.nanoTime();
        Attempt last = send(tally, shape, nonce);
        for (int retry = 0; retry < mPlan.maxRetries() && mayRetry(last, shape); retry++) {
            Thread.sleep(last.retryAfterMillis().orElse(0L));
            tally.addRetry();
            last = send(tally, shape, nonce);
        }
        tally.add(last, shape.isStreamed(), startNanos, seconds());
        if (shape.mustRunOnce()) {
            mTold.put(nonce, new Told(last.verdict(), tally));
        }
    }

    private Attempt send(WorkspaceTally tally, RequestShape shape, String nonce) {
        Attempt attempt = mClient.send(mBalancer.next(), tally.plan().key(), shape, nonce);
        if (attempt.verdict() != Verdict.WHOLE) {
            tally.addRefusal(attempt.error());
        }
        return attempt;
    }

    private static boolean mayRetry(Attempt last, RequestShape shape) {
        boolean isAllowed = last.retryAfterMillis().isPresent();
        boolean isSafe = last.verdict() == Verdict.NOT_RUN || shape.mustRunOnce();
        return isAllowed && isSafe;
    }

    private String progressLine() {
        long requests = mTallies.stream().mapToLong(WorkspaceTally::requests).sum();
        long whole = mTallies.stream().mapToLong(tally -> tally.count(Verdict.WHOLE)).sum();
        long lost = mTallies.stream().mapToLong(tally -> tally.count(Verdict.LOST)).sum();
        return String.format(
                "%5.0f s: %d requests, %d whole, %d lost", seconds(), requests, whole, lost);
    }
}
