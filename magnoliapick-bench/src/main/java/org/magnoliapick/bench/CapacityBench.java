package org.magnoliapick.bench;

import com.fasterxml.jackson.databind.node.DoubleNode;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntToDoubleFunction;
import org.magnoliapick.bench.capacity.Fit;
import org.magnoliapick.bench.capacity.GrantLoad;
import org.magnoliapick.bench.capacity.RouterLoad;
import org.magnoliapick.bench.driver.EncodedSize;
import org.magnoliapick.claim.ClaimBatch;
import org.magnoliapick.claim.ClaimCodec;
import org.magnoliapick.claim.ClaimEntry;
import org.magnoliapick.claim.ClaimKey;
import org.magnoliapick.claim.ClaimLedger;
import org.magnoliapick.config.ConfigEntry;
import org.magnoliapick.config.ConfigState;
import org.magnoliapick.lib.AttemptId;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.PoolId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.share.ShareMessage;

/**
 * Measures what each role costs at four sizes or more, and prints the line through the points.
 * Times are processor time of the measuring thread; memory is what the heap keeps after a
 * collection.
 */
public final class CapacityBench {
    private static final int INSTANCES = 90;
    private static final int UPSTREAMS = 333;
    private static final int WORKSPACES = 5_700;
    private static final int BACKLOGGED = 570;
    private static final int STEPS = 20_000;
    private static final int ROUNDS = 3;
    private static final double NANOS_PER_MICRO = 1_000;
    private static final long WINDOW_MILLIS = 3_600_000;
    private static final PoolId POOL = new PoolId(new FailureDomain("domain-00"), "model-00");

    /** Takes results, so that the compiler cannot drop the work that gave them. */
    private static double sUnused;

    private CapacityBench() {}

    /** Prints all slopes. */
    public static void main(String[] args) {
        printDispatcher();
        printRouter();
        printKeptState();
    }

    private static void printDispatcher() {
        print(
                "grant time (us) by log2 of the backlogged workspaces",
                log2(70, 140, 285, 570, 1_140),
                size -> grantMicros((int) Math.round(Math.pow(2, size)), UPSTREAMS));
        print(
                "grant time (us) by upstreams",
                List.of(83.0, 166.0, 333.0, 666.0),
                size -> grantMicros(BACKLOGGED, (int) size));
        print(
                "dispatcher memory (bytes) by workspaces known",
                List.of(712.0, 1_425.0, 2_850.0, 5_700.0),
                size ->
                        heapBytes(
                                () ->
                                        new GrantLoad(
                                                (int) size,
                                                (int) size / 10,
                                                INSTANCES,
                                                UPSTREAMS)));
        print(
                "demand message (bytes) by workspaces",
                List.of(1.0, 19.0, 57.0, 190.0, 570.0),
                CapacityBench::demandBytes);
        print(
                "grants message (bytes) by grants",
                List.of(1.0, 4.0, 16.0, 64.0),
                CapacityBench::grantsBytes);
        print(
                "exchange message (bytes) by workspaces",
                List.of(71.0, 142.0, 285.0, 570.0),
                CapacityBench::attainedBytes);
    }

    private static void printRouter() {
        print(
                "request time in a router (us) by waiting workspaces",
                List.of(10.0, 50.0, 190.0, 570.0),
                size -> routerMicros((int) size));
        print(
                "router memory (bytes) by waiting requests",
                List.of(500.0, 1_000.0, 1_500.0, 2_000.0),
                size -> heapBytes(() -> new RouterLoad((int) size, (int) size)));
    }

    private static void printKeptState() {
        print(
                "claim batch (bytes) by claims",
                List.of(10.0, 100.0, 500.0, 1_500.0),
                size -> ClaimCodec.encode(claims((int) size, 0)).length);
        print(
                "claim fold time (us for all) by claims",
                List.of(10_000.0, 20_000.0, 40_000.0, 80_000.0),
                size -> claimFoldMicros((int) size));
        print(
                "claim memory (bytes) by claims kept",
                List.of(10_000.0, 20_000.0, 40_000.0, 80_000.0),
                size -> heapBytes(() -> ledger((int) size)));
        print(
                "configuration memory (bytes) by workspaces",
                List.of(712.0, 1_425.0, 2_850.0, 5_700.0),
                size -> heapBytes(() -> configuration((int) size)));
        print(
                "configuration fold time (us an entry) by workspaces",
                List.of(712.0, 1_425.0, 2_850.0, 5_700.0),
                size -> foldMicros((int) size));
        print(
                "configuration snapshot (bytes) by workspaces",
                List.of(712.0, 1_425.0, 2_850.0, 5_700.0),
                size -> configuration((int) size).snapshot().length);
    }

    private interface Measure {
        double at(double size);
    }

    private interface Build {
        Object make();
    }

    private static void print(String what, List<Double> sizes, Measure measure) {
        List<Fit.Point> points = new ArrayList<>();
        StringBuilder line = new StringBuilder(what).append(':');
        for (double size : sizes) {
            double value = measure.at(size);
            points.add(new Fit.Point(size, value));
            line.append(String.format(Locale.ROOT, " %.4g -> %.4g;", size, value));
        }
        Fit fit = Fit.of(points);
        line.append(
                String.format(
                        Locale.ROOT,
                        " fit %.4g + %.4g x size, largest error %.0f %%",
                        fit.intercept(),
                        fit.slope(),
                        100 * fit.errorRatio()));
        System.out.println(line);
    }

    private static List<Double> log2(int... sizes) {
        List<Double> logs = new ArrayList<>();
        for (int size : sizes) {
            logs.add(Math.log(size) / Math.log(2));
        }
        return logs;
    }

    private static double grantMicros(int backlogged, int upstreams) {
        GrantLoad load = new GrantLoad(WORKSPACES, backlogged, INSTANCES, upstreams);
        return bestMicros(STEPS, step -> load.step());
    }

    private static double routerMicros(int waiting) {
        RouterLoad load = new RouterLoad(waiting, waiting);
        return bestMicros(STEPS, step -> load.step());
    }

    /**
     * Runs the steps a few times and returns the least mean processor time of a step, in
     * microseconds.
     */
    private static double bestMicros(int steps, IntToDoubleFunction action) {
        double best = Double.POSITIVE_INFINITY;
        for (int round = 0; round < ROUNDS; round++) {
            long startNanos = cpuNanos();
            for (int step = 0; step < steps; step++) {
                sUnused += action.applyAsDouble(step);
            }
            best = Math.min(best, (cpuNanos() - startNanos) / NANOS_PER_MICRO / steps);
        }
        return best;
    }

    private static long cpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static double heapBytes(Build build) {
        build.make();
        long before = usedBytes();
        Object kept = build.make();
        long after = usedBytes();
        java.lang.ref.Reference.reachabilityFence(kept);
        return after - before;
    }

    private static long usedBytes() {
        for (int round = 0; round < ROUNDS; round++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static double demandBytes(double size) {
        List<ShareMessage.WorkspaceDemand> demands = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            demands.add(
                    new ShareMessage.WorkspaceDemand(
                            workspace(i),
                            "model-00",
                            3,
                            1_000_000_000L,
                            412.5,
                            98_765.4,
                            1_234.5,
                            321.0,
                            Optional.empty()));
        }
        List<ShareMessage.UpstreamUse> uses =
                List.of(new ShareMessage.UpstreamUse(upstream(1), 4, 35));
        return EncodedSize.bytesOf(
                new ShareMessage.Demand(POOL, 1_000, 900, true, demands, uses, List.of()));
    }

    private static double grantsBytes(double size) {
        List<ShareMessage.Grant> grants = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            grants.add(new ShareMessage.Grant(workspace(i), "model-00", upstream(i), 321.5));
        }
        return EncodedSize.bytesOf(
                new ShareMessage.Grants(POOL, 1_000_000_000_000L, true, List.of(), grants));
    }

    private static double attainedBytes(double size) {
        List<ShareMessage.ServiceTotal> totals = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            totals.add(new ShareMessage.ServiceTotal(workspace(i), 98_765.4, 1_234.5, true));
        }
        return EncodedSize.bytesOf(
                new ShareMessage.AttainedService(POOL, 1_000_000_000_000L, 1_000, totals));
    }

    private static ClaimBatch claims(int count, int first) {
        List<ClaimEntry> entries = new ArrayList<>();
        for (int i = first; i < first + count; i++) {
            entries.add(
                    new ClaimEntry.Claim(
                            new ClaimKey(workspace(i % WORKSPACES), "0190c0de-0000-" + i),
                            new AttemptId("attempt-0190c0de-" + i),
                            new InstanceId("router-0001"),
                            "0123456789abcdef0123456789abcdef"));
        }
        return new ClaimBatch(entries);
    }

    private static ClaimLedger ledger(int claims) {
        ClaimLedger ledger = new ClaimLedger(WINDOW_MILLIS, WINDOW_MILLIS);
        int batch = 1_000;
        for (int i = 0; i < claims; i += batch) {
            ledger.apply(i / batch, i, Optional.of(claims(batch, i)));
        }
        return ledger;
    }

    private static double claimFoldMicros(int claims) {
        return bestMicros(1, step -> ledger(claims).size());
    }

    private static ConfigState configuration(int workspaces) {
        ConfigState state = new ConfigState();
        for (int i = 0; i < workspaces; i++) {
            state.apply(i, i, weight(i, 1 + i % 7).encode());
        }
        return state;
    }

    private static double foldMicros(int workspaces) {
        ConfigState state = configuration(workspaces);
        long[] offset = {workspaces};
        return bestMicros(
                200,
                step -> {
                    int which = step % workspaces;
                    state.apply(offset[0], offset[0], weight(which, 1 + step % 9).encode());
                    offset[0]++;
                    return state.offset();
                });
    }

    private static ConfigEntry weight(int workspace, double weight) {
        String path = "teams/team-" + workspace / 4 + "/workspaces/" + workspace(workspace);
        return new ConfigEntry(
                "0190c0de-0000-0000-0000-" + workspace + "-" + weight,
                "operator",
                "capacity",
                Map.of(),
                Map.of(path + "/weight", DoubleNode.valueOf(weight)),
                List.of(),
                -1);
    }

    private static WorkspaceId workspace(int number) {
        return new WorkspaceId(String.format(Locale.ROOT, "workspace-%04d", number));
    }

    private static UpstreamId upstream(int number) {
        return new UpstreamId(String.format(Locale.ROOT, "engine-%04d", number));
    }
}
