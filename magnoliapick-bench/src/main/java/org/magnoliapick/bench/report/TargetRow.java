package org.magnoliapick.bench.report;

/**
 * What a policy gave at one target.
 *
 * @param target the model or plain service
 * @param gapUnits the largest gap in normalised service, in service units
 * @param largestCostUnits the largest cost of a single request, in service units
 * @param gapInCosts the gap divided by the largest single cost
 * @param mostInFlightUnits the most work in flight in the pool, in service units
 * @param gapBoundUnits twice the sum of the largest cost and the work in flight, in service units
 * @param idealGapUnits the gap of the ideal queue, in service units
 * @param utilisation the part of the slots used while work waited
 * @param idealUtilisation the same for the ideal queue
 */
public record TargetRow(
        String target,
        double gapUnits,
        double largestCostUnits,
        double gapInCosts,
        double mostInFlightUnits,
        double gapBoundUnits,
        double idealGapUnits,
        double utilisation,
        double idealUtilisation) {}
