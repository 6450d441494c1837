package org.magnoliapick.router.internal;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.magnoliapick.admin.ConfigFollower;
import org.magnoliapick.router.internal.supervisor.Part;

/** Follows the configuration in the log. */
@Singleton
public final class ConfigPart implements Part {
    private static final long PAUSE_MILLIS = 200;

    private final ConfigFollower mFollower;

    @Inject
    ConfigPart(ConfigFollower follower) {
        mFollower = follower;
    }

    @Override
    public String name() {
        return "config";
    }

    @Override
    public void step() throws InterruptedException {
        ConfigFollower.StepResult result = mFollower.step();
        if (result == ConfigFollower.StepResult.LOG_UNAVAILABLE
                || result == ConfigFollower.StepResult.GAP) {
            Thread.sleep(PAUSE_MILLIS);
        }
    }
}
