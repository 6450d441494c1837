package org.magnoliapick.router.internal.supervisor;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;

/**
 * Runs parts and other supervisors. A part that fails is started again after a pause; its siblings
 * go on. Children are stopped in the opposite order of their start.
 */
public final class Supervisor {
    private static final Logger LOG = System.getLogger(Supervisor.class.getName());
    private static final long STOP_WAIT_MILLIS = 2_000;

    private final String mName;
    private final List<Runner> mRunners = new ArrayList<>();
    private final List<Supervisor> mChildren = new ArrayList<>();
    private volatile boolean mRunning;

    /** Creates a supervisor without children. */
    public Supervisor(String name) {
        mName = name;
    }

    /** Adds a part; it runs from {@link #start} on. */
    public Supervisor with(Part part) {
        mRunners.add(new Runner(part));
        return this;
    }

    /** Adds a supervisor below this one. */
    public Supervisor with(Supervisor child) {
        mChildren.add(child);
        return this;
    }

    /** Starts the supervisors below, then the own parts. */
    public void start() {
        mRunning = true;
        mChildren.forEach(Supervisor::start);
        mRunners.forEach(Runner::start);
        LOG.log(Level.INFO, "[supervisor] Started {0}.", mName);
    }

    /** Stops the own parts, then the supervisors below, last first. */
    public void stop() {
        mRunning = false;
        for (int i = mRunners.size() - 1; i >= 0; i--) {
            mRunners.get(i).stop();
        }
        for (int i = mChildren.size() - 1; i >= 0; i--) {
            mChildren.get(i).stop();
        }
        LOG.log(Level.INFO, "[supervisor] Stopped {0}.", mName);
    }

    private final class Runner {
        private final Part mPart;
        private final Thread mThread;
        private final RestartDelay mDelay = new RestartDelay();

        Runner(Part part) {
            mPart = part;
            mThread = new Thread(this::run, mName + "/" + part.name());
            mThread.setDaemon(true);
        }

        void start() {
            mThread.start();
        }

        void stop() {
            mThread.interrupt();
            try {
                mThread.join(STOP_WAIT_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private void run() {
            while (mRunning) {
                try {
                    mPart.step();
                    mDelay.succeeded();
                } catch (InterruptedException e) {
                    return;
                } catch (Exception e) {
                    if (!pauseAfter(e)) {
                        return;
                    }
                }
            }
        }

        private boolean pauseAfter(Exception failure) {
            if (!mRunning) {
                return false;
            }
            long pauseMillis = mDelay.afterFailure();
            LOG.log(
                    Level.ERROR,
                    () ->
                            "[supervisor] Part "
                                    + mPart.name()
                                    + " failed; starting it again in "
                                    + pauseMillis
                                    + " ms.",
                    failure);
            try {
                Thread.sleep(pauseMillis);
                return true;
            } catch (InterruptedException e) {
                return false;
            }
        }
    }
}
