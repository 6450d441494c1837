package org.magnoliapick.bench.capacity;

import java.util.List;

/**
 * A straight line through measured points by least squares.
 *
 * @param slope what one unit of size costs
 * @param intercept the cost at size 0
 * @param errorRatio the largest distance of a point from the line, relative to the point
 */
public record Fit(double slope, double intercept, double errorRatio) {
    /**
     * A measured point.
     *
     * @param size the size
     * @param value the cost at that size
     */
    public record Point(double size, double value) {}

    /** Fits a line through at least two points. */
    public static Fit of(List<Point> points) {
        double meanSize = points.stream().mapToDouble(Point::size).average().orElseThrow();
        double meanValue = points.stream().mapToDouble(Point::value).average().orElseThrow();
        double products = 0;
        double squares = 0;
        for (Point point : points) {
            products += (point.size() - meanSize) * (point.value() - meanValue);
            squares += (point.size() - meanSize) * (point.size() - meanSize);
        }
        double slope = products / squares;
        double intercept = meanValue - slope * meanSize;
        double worst = 0;
        for (Point point : points) {
            double distance = Math.abs(intercept + slope * point.size() - point.value());
            worst = Math.max(worst, distance / Math.abs(point.value()));
        }
        return new Fit(slope, intercept, worst);
    }

    /** Returns the value of the line at a size. */
    public double at(double size) {
        return intercept + slope * size;
    }
}
