package org.magnoliapick.report;

import java.util.List;
import java.util.Locale;

/** A small drawing in SVG. Lengths are in units of a drawing 360 wide, the width of a phone. */
final class SvgPlot {
    static final int WIDTH = 360;
    static final int LEFT = 44;
    static final int RIGHT = 352;
    static final int TOP = 10;
    private static final int LABEL_CHARS = 34;

    private final StringBuilder mBody = new StringBuilder();
    private final int mHeight;
    private final String mTitle;

    SvgPlot(int height, String title) {
        mHeight = height;
        mTitle = title;
    }

    SvgPlot rect(double x, double y, double width, double height, String colour) {
        mBody.append(
                String.format(
                        Locale.ROOT,
                        "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" fill=\"%s\"/>",
                        x,
                        y,
                        Math.max(0, width),
                        Math.max(0, height),
                        colour));
        return this;
    }

    SvgPlot line(double x1, double y1, double x2, double y2) {
        mBody.append(
                String.format(
                        Locale.ROOT,
                        "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" class=\"axis\"/>",
                        x1,
                        y1,
                        x2,
                        y2));
        return this;
    }

    SvgPlot polyline(List<double[]> points, String colour) {
        mBody.append(
                "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" + colour + "\" points=\"");
        points.forEach(it -> mBody.append(String.format(Locale.ROOT, "%.1f,%.1f ", it[0], it[1])));
        mBody.append("\"/>");
        return this;
    }

    /** Draws a text whose anchor is start, middle or end. */
    SvgPlot text(double x, double y, String anchor, String text) {
        String shown =
                text.length() <= LABEL_CHARS ? text : text.substring(0, LABEL_CHARS - 1) + "…";
        mBody.append(
                String.format(
                        Locale.ROOT,
                        "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>",
                        x,
                        y,
                        anchor,
                        Units.escaped(shown)));
        return this;
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "<svg viewBox=\"0 0 %d %d\" role=\"img\" aria-label=\"%s\">%s</svg>",
                WIDTH,
                mHeight,
                Units.escaped(mTitle),
                mBody);
    }
}
