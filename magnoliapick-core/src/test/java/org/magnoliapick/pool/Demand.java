package org.magnoliapick.pool;

import java.util.List;

/** Requests at a constant rate to all instances of a fleet in virtual time. */
final class Demand {
    private Demand() {}

    /**
     * Sends requests to instances chosen at random.
     *
     * @param requests receives the requests when they are sent
     */
    static void send(
            FakeFleet fleet,
            List<FakeFleet.Request> requests,
            long fromMillis,
            long untilMillis,
            int perSecond) {
        int instances = fleet.instanceCount();
        for (long i = 0; i * 1_000 / perSecond < untilMillis - fromMillis; i++) {
            String part = "part-" + i % 40;
            fleet.at(
                    fromMillis + i * 1_000 / perSecond,
                    () ->
                            requests.add(
                                    fleet.send(fleet.random().nextInt(instances), "base", part)));
        }
    }
}
