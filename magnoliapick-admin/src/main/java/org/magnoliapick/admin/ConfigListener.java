package org.magnoliapick.admin;

import org.magnoliapick.config.FleetConfig;

/** Hears of each configuration that comes into force. */
public interface ConfigListener {
    /** Takes a configuration; offsets only grow. Called by the thread that steps the follower. */
    void configChanged(FleetConfig config);
}
