package org.magnoliapick.quarantine;

/**
 * Why a request is not sent to any upstream: upstreams crashed that began to answer requests with
 * one of its prompt parts.
 *
 * @param part the part
 * @param crashes the number of crashes
 * @param endMillis until when requests with the part are refused
 */
public record Quarantine(PartKey part, int crashes, long endMillis) {}
