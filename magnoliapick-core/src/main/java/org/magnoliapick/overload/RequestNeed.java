package org.magnoliapick.overload;

import java.util.OptionalLong;

/**
 * How soon a request has to be answered.
 *
 * @param objectiveMillis objective for the response, or for its first event, in milliseconds
 * @param remainingMillis how long the caller will still wait, in milliseconds, if it states that
 * @param leastMillis the least time that any upstream needs for the first response; 0 if unknown
 */
public record RequestNeed(long objectiveMillis, OptionalLong remainingMillis, long leastMillis) {
    /**
     * Returns whether the request can still be answered in time.
     *
     * @param waitMillis how long it has waited and will wait at this instance, in milliseconds
     */
    boolean canBeMet(long waitMillis) {
        long limitMillis = Math.min(objectiveMillis, remainingMillis.orElse(objectiveMillis));
        // A least time that was measured while responses were read late must not reject all
        // requests of a route, because then it would not be measured again.
        long leastNeededMillis = Math.min(leastMillis, objectiveMillis / 2);
        return waitMillis + leastNeededMillis <= limitMillis;
    }
}
