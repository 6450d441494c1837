package org.magnoliapick.router.internal.config;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.InstantSource;
import org.magnoliapick.admin.ConfigFollower;
import org.magnoliapick.router.internal.supervisor.Part;

/** Follows the configuration in the log. */
@Singleton
public final class ConfigPart implements Part {
    private static final long PAUSE_MILLIS = 200;

    private final ConfigFollower mFollower;
    private final InstantSource mClock;
    private volatile long mReadAtMillis;

    @Inject
    ConfigPart(ConfigFollower follower, InstantSource clock) {
        mFollower = follower;
        mClock = clock;
    }

    /**
     * Returns when the configuration was last known to be at the end of the log, in milliseconds
     * since the epoch; 0 if never.
     */
    public long readAtMillis() {
        return mReadAtMillis;
    }

    @Override
    public String name() {
        return "config";
    }

    @Override
    public void step() throws InterruptedException {
        long askedAtMillis = mClock.millis();
        ConfigFollower.StepResult result = mFollower.step();
        if (result == ConfigFollower.StepResult.LOG_UNAVAILABLE
                || result == ConfigFollower.StepResult.GAP) {
            Thread.sleep(PAUSE_MILLIS);
        } else if (result == ConfigFollower.StepResult.CURRENT) {
            mReadAtMillis = askedAtMillis;
        }
    }
}
