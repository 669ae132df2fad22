package org.bramblerack.cli.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A least-squares line through data points. Not safe for use by several threads. */
final class LinearFit {
    private final List<double[]> points = new ArrayList<>();

    void add(double position, double value) {
        points.add(new double[] {position, value});
    }

    /** Returns the slope, or 0 if all points have the same position. */
    double slope() {
        double meanX = points.stream().mapToDouble(point -> point[0]).average().orElse(0);
        double meanY = points.stream().mapToDouble(point -> point[1]).average().orElse(0);
        double covariance = 0;
        double variance = 0;
        for (double[] point : points) {
            covariance += (point[0] - meanX) * (point[1] - meanY);
            variance += (point[0] - meanX) * (point[0] - meanX);
        }
        return variance == 0 ? 0 : covariance / variance;
    }

    double intercept() {
        double meanX = points.stream().mapToDouble(point -> point[0]).average().orElse(0);
        double meanY = points.stream().mapToDouble(point -> point[1]).average().orElse(0);
        return meanY - slope() * meanX;
    }

    /** Returns the largest absolute residual, or 0 if there are no points. */
    double maxError() {
        return points.stream()
                .mapToDouble(point -> Math.abs(point[1] - intercept() - slope() * point[0]))
                .max()
                .orElse(0);
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%.3f + %.3f a unit (%d points, worst error %.3f)",
                intercept(),
                slope(),
                points.size(),
                maxError());
    }
}
