package org.magnoliapick.pool;

/**
 * The part of the fleet for which this instance decides. Limits on what the fleet does together are
 * divided accordingly while instances cannot reach each other or their dispatcher.
 *
 * @param fraction the fraction of all known instances for which it decides; instances that were
 *     lost recently count as known, since they may be cut off and go on
 * @param dispatcher whether it decides regularly, and not only while its dispatcher does not reply
 * @param position the position of this instance among all known ones, from 0 to 1 (exclusive)
 * @param knownCount the number of known instances, this one and seeds without a message included
 * @param recentCount the number of instances of its cell from which it received a message very
 *     recently, this one included
 */
public record FleetShare(
        double fraction, boolean dispatcher, double position, int knownCount, int recentCount) {
    /** The share of an instance that knows no other one. */
    public static final FleetShare WHOLE = new FleetShare(1, true, 0, 1, 1);
}
