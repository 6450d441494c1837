package org.magnoliapick.quarantine;

/**
 * Why a request is not sent to any upstream: upstreams crashed that ran requests with the same
 * content or one of its prompt parts.
 *
 * @param key the part or the fingerprint
 * @param crashes the number of crashes
 * @param endMillis until when requests that have it are refused
 */
public record Quarantine(SuspectKey key, int crashes, long endMillis) {}
