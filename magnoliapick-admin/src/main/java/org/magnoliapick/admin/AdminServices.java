package org.magnoliapick.admin;

import java.time.InstantSource;
import java.util.Optional;
import org.magnoliapick.ports.LogService;

/**
 * What the administration API works with.
 *
 * @param log the platform's log
 * @param follower the follower of the configuration
 * @param fleet the way to the other instances
 * @param decisions the decisions of this instance
 * @param summaries the summaries that the log keeps
 * @param clock the clock
 * @param bootstrapKeyHash the SHA-256 hash of a key that may do everything as long as no operator
 *     of the whole fleet may administer, so that the first operator can be entered
 */
public record AdminServices(
        LogService log,
        ConfigFollower follower,
        FleetQuery fleet,
        DecisionKeeper decisions,
        SummaryReader summaries,
        InstantSource clock,
        Optional<String> bootstrapKeyHash) {}
