package org.magnoliapick.limit;

/**
 * The part of the requests to a cold upstream that this instance decides.
 *
 * @param fleet the fraction of the fleet for which it decides, alone or together with others that
 *     report what they decide
 * @param own the fraction of the rate that it may use, whatever others report
 * @param dispatcher whether it decides regularly, and not only while its dispatcher does not reply
 * @param position the position of this instance among all known ones, from 0 to 1 (exclusive)
 */
public record ColdShare(double fleet, double own, boolean dispatcher, double position) {
    /** The share of an instance that knows no other one. */
    public static final ColdShare WHOLE = new ColdShare(1, 1, true, 0);
}
