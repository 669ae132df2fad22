package org.bramblerack.cli.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Prints a benchmark's output and collects it for its result files. Not safe for use by several threads. */
public final class Report {
    private final PrintStream out;
    private final List<String> lines = new ArrayList<>();
    private final List<String> points = new ArrayList<>();

    /** Creates an empty report that prints each line when it is added. */
    public Report(PrintStream out) {
        this.out = out;
    }

    /** Formats, prints and adds a line. */
    public void line(String format, Object... values) {
        String text = String.format(Locale.ROOT, format, values);
        out.println(text);
        lines.add(text);
    }

    /** Adds a data point (x and y) of a series. */
    public void point(String series, double position, double value) {
        points.add(String.format(Locale.ROOT, "%s\t%.3f\t%.3f", series, position, value));
    }

    /** Adds a line with a result and its bound, and returns whether the result is within the bound. */
    public boolean checkBound(String what, double value, String unit, double bound, boolean atMost) {
        boolean within = atMost ? value <= bound : value >= bound;
        line(
                "%-58s %10.3f %-4s %s %.3f: %s",
                what, value, unit, atMost ? "at most" : "at least", bound, within ? "within" : "NOT WITHIN");
        return within;
    }

    /** Writes the lines to {@code NAME.txt} and the data points to {@code NAME.tsv}, replacing earlier files. */
    public void write(Path folder, String name) throws IOException {
        Files.createDirectories(folder);
        Files.write(folder.resolve(name + ".txt"), lines, StandardCharsets.UTF_8);
        Files.write(folder.resolve(name + ".tsv"), points, StandardCharsets.UTF_8);
    }
}
