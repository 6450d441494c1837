package org.magnoliapick.bench.scenario;

/**
 * How soon instances learn of changes in the fleet.
 *
 * @param suspicionMillis until a member that is not heard of is suspect, in milliseconds
 * @param heartbeatMillis until a member that is heard of again is live, in milliseconds
 * @param listLagMillis until the instance list shows that a member is leaving, in milliseconds
 */
public record Membership(long suspicionMillis, long heartbeatMillis, long listLagMillis) {}
