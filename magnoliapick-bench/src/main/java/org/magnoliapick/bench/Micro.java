package org.magnoliapick.bench;

import org.magnoliapick.bench.capacity.GrantBenchmark;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/** Runs the micro-benchmarks, short, with allocation per decision. */
public final class Micro {
    private static final int WARM_UP_ITERATIONS = 2;
    private static final int ITERATIONS = 3;

    private Micro() {}

    /**
     * Runs all micro-benchmarks.
     *
     * @throws RunnerException if one cannot be run
     */
    public static void main(String[] args) throws RunnerException {
        new Runner(
                        new OptionsBuilder()
                                .include(GrantBenchmark.class.getSimpleName())
                                .forks(1)
                                .warmupIterations(WARM_UP_ITERATIONS)
                                .warmupTime(TimeValue.seconds(1))
                                .measurementIterations(ITERATIONS)
                                .measurementTime(TimeValue.seconds(1))
                                .addProfiler(GCProfiler.class)
                                .build())
                .run();
    }
}
