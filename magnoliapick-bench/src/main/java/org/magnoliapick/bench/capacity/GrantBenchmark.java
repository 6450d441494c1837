package org.magnoliapick.bench.capacity;

import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** One grant decision in a domain of the size to design for. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class GrantBenchmark {
    private static final int WORKSPACES = 5_700;
    private static final int INSTANCES = 90;
    private static final int UPSTREAMS = 333;

    /** The workspaces that wait. */
    @Param({"70", "140", "285", "570", "1140"})
    public int backlogged;

    private GrantLoad mLoad;

    /** Fills all slots. */
    @Setup
    public void setUp() {
        mLoad = new GrantLoad(WORKSPACES, backlogged, INSTANCES, UPSTREAMS);
    }

    /** Reports the end of one request and takes the grant that follows. */
    @Benchmark
    public long grant() {
        return mLoad.step();
    }
}
