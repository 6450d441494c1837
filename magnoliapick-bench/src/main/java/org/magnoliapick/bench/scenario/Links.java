package org.magnoliapick.bench.scenario;

/**
 * The links between processes.
 *
 * @param inDomainMicros one-way delay inside a failure domain, in microseconds
 * @param crossDomainMicros one-way delay between failure domains, in microseconds
 * @param lossRatio the part of control messages that is lost, from 0 to 1
 */
public record Links(long inDomainMicros, long crossDomainMicros, double lossRatio) {}
