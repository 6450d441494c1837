package org.magnoliapick.proof;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Two routers, a log and two upstreams, in injected time. */
final class RouterWorld {
    static final long START_MILLIS = 1_000_000;
    static final long DEADLINE_MILLIS = START_MILLIS + 10_000;
    static final long PAUSE_MILLIS = 20_000;
    private static final long STEP_MILLIS = 100;

    /** How an upstream behaves. */
    enum UpstreamMode {
        /** Answers. */
        UP,
        /** Refuses with proof that it did not start. */
        LEAVING,
        /** Does not accept connections. */
        DEAD,
        /** Runs the request and loses the answer. */
        ANSWER_LOST
    }

    final FakeLog mLog = new FakeLog();
    final List<FakeRouter> mRouters = new ArrayList<>();
    final Map<String, UpstreamMode> mUpstreams = new HashMap<>();
    final Map<String, Integer> mRunsByKey = new HashMap<>();
    private final Map<Fault, Runnable> mStrikes = new EnumMap<>(Fault.class);
    private final boolean mTimersFirst;
    boolean mFlooded;
    boolean mRepeats;
    long mNowMillis = START_MILLIS;
    private int mNames;

    /**
     * Creates the world.
     *
     * @param timersFirst whether a process that wakes up runs its timers before what waits
     */
    RouterWorld(boolean timersFirst) {
        mTimersFirst = timersFirst;
        mRouters.add(new FakeRouter("r1", this));
        mRouters.add(new FakeRouter("r2", this));
        mUpstreams.put("a", UpstreamMode.UP);
        mUpstreams.put("b", UpstreamMode.UP);
        defineStrikes();
    }

    FakeRouter first() {
        return mRouters.get(0);
    }

    FakeRouter second() {
        return mRouters.get(1);
    }

    String newName(String prefix) {
        mNames++;
        return prefix + mNames;
    }

    private void defineStrikes() {
        mStrikes.put(Fault.PARTITION, () -> first().cutOff());
        mStrikes.put(Fault.RESTART, () -> first().restart());
        mStrikes.put(Fault.FLOOD, () -> mFlooded = true);
        mStrikes.put(Fault.LOG_OUT, () -> mLog.setMode(FakeLog.Mode.OUT, mNowMillis));
        mStrikes.put(Fault.LOG_SLOW, () -> mLog.setMode(FakeLog.Mode.SLOW, mNowMillis));
        mStrikes.put(
                Fault.APPEND_ANSWER_LOST, () -> mLog.setMode(FakeLog.Mode.ANSWER_LOST, mNowMillis));
        mStrikes.put(Fault.ANSWER_LOST, () -> breakUpstreams(UpstreamMode.ANSWER_LOST));
        mStrikes.put(Fault.PAUSE, this::pause);
        mStrikes.put(Fault.UPSTREAM_LEAVES, () -> mUpstreams.put("a", UpstreamMode.LEAVING));
        mStrikes.put(Fault.UPSTREAM_DIES, () -> breakUpstreams(UpstreamMode.DEAD));
        mStrikes.put(Fault.CROSSED_ANSWER, () -> mRouters.forEach(FakeRouter::crossAnswers));
        mStrikes.put(Fault.REPEATED, () -> mRepeats = true);
    }

    private void pause() {
        mNowMillis += PAUSE_MILLIS;
        if (mTimersFirst) {
            mRouters.forEach(FakeRouter::runTimers);
        }
    }

    private void breakUpstreams(UpstreamMode mode) {
        mUpstreams.put("a", mode);
        mRouters.forEach(router -> router.loseAnswers("a"));
    }

    void strike(Fault fault) {
        Runnable strike = mStrikes.get(fault);
        if (strike == null) {
            throw new AssertionError("No cell for " + fault);
        }
        strike.run();
    }

    void heal() {
        mLog.setMode(FakeLog.Mode.UP, mNowMillis);
        mFlooded = false;
        mRepeats = false;
        mUpstreams.replaceAll((name, mode) -> UpstreamMode.UP);
        mRouters.forEach(FakeRouter::joinAgain);
    }

    /** Lets time pass; everything that is due happens. */
    void run(long millis) {
        long untilMillis = mNowMillis + millis;
        while (mNowMillis < untilMillis) {
            mRouters.forEach(FakeRouter::turn);
            mNowMillis += STEP_MILLIS;
        }
    }
}
