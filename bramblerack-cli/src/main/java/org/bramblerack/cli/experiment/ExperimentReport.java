package org.bramblerack.cli.experiment;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import java.awt.image.BufferedImage;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.Locale;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import javax.imageio.ImageIO;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.data.category.DefaultCategoryDataset;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Prints a comparison as text, and writes it to a folder as JSON, CSV and an HTML page with plots. Stateless. */
final class ExperimentReport {
    private static final int PLOT_WIDTH_PIXELS = 900;
    private static final int PLOT_HEIGHT_PIXELS = 360;
    private static final int MAX_VIOLATIONS_SHOWN = 20;
    private static final ImmutableList<Column> COLUMNS = ImmutableList.of(
            new Column("policy", Summary::policy),
            new Column("kind", Summary::kind),
            share("credit", Summary::credit),
            share("creditGain", Summary::creditGain),
            share("gainMargin", Summary::gainMargin),
            share("inGoal", Summary::inGoal),
            share("late", Summary::late),
            share("refused", Summary::refused),
            share("failed", Summary::failed),
            share("coverage", Summary::coverage),
            millis("p50Millis", Summary::p50Millis),
            millis("p99Millis", Summary::p99Millis),
            millis("p999Millis", Summary::p999Millis));

    private ExperimentReport() {}

    /** A column of the report: its name and the formatted value of a summary. */
    private record Column(String name, Function<Summary, String> text) {}

    /** Prints one line for each summary, the costs of each policy and the first violations. */
    static void print(Comparison comparison, PrintStream out) {
        out.printf(
                "%-28s %-14s %7s %16s %7s %6s %7s %6s %8s %7s %7s%n",
                "policy",
                "kind",
                "credit",
                "gain (95%)",
                "in goal",
                "late",
                "refused",
                "failed",
                "coverage",
                "p50 ms",
                "p99 ms");
        for (Summary summary : comparison.summaries()) {
            out.printf(
                    Locale.ROOT,
                    "%-28s %-14s %7.4f %+8.4f ±%6.4f %7.4f %6.4f %7.4f %6.4f %8.4f %7.1f %7.1f%n",
                    summary.policy(),
                    summary.kind(),
                    summary.credit(),
                    summary.creditGain(),
                    summary.gainMargin(),
                    summary.inGoal(),
                    summary.late(),
                    summary.refused(),
                    summary.failed(),
                    summary.coverage(),
                    summary.p50Millis(),
                    summary.p99Millis());
        }
        for (Summary.Cost cost : comparison.costs()) {
            out.printf(
                    Locale.ROOT,
                    "%s: for each first call %.4f extra, %.4f refused by leaves, %.4f retries denied, %.4f connections%n",
                    cost.policy(),
                    cost.extraShare(),
                    cost.refusedShare(),
                    cost.retriesDenied(),
                    cost.connections());
            cost.violations().stream()
                    .limit(MAX_VIOLATIONS_SHOWN)
                    .forEach(violation -> out.println("  VIOLATION: " + violation));
        }
    }

    /** Writes {@code report.json}, {@code report.csv} and {@code report.html} into a folder. */
    static void write(Comparison comparison, Path folder) throws IOException {
        Files.createDirectories(folder);
        Files.writeString(folder.resolve("report.csv"), csv(comparison));
        Files.writeString(folder.resolve("report.json"), json(comparison));
        Files.writeString(folder.resolve("report.html"), html(comparison));
    }

    private static String csv(Comparison comparison) {
        StringBuilder text = new StringBuilder();
        text.append(joinColumns(",", Column::name)).append('\n');
        for (Summary summary : comparison.summaries()) {
            text.append(joinColumns(",", column -> quoted(column.text().apply(summary))))
                    .append('\n');
        }
        return text.toString();
    }

    private static String joinColumns(String separator, Function<Column, String> part) {
        return COLUMNS.stream().map(part).collect(Collectors.joining(separator));
    }

    private static Column share(String name, ToDoubleFunction<Summary> value) {
        return new Column(name, summary -> String.format(Locale.ROOT, "%.5f", value.applyAsDouble(summary)));
    }

    private static Column millis(String name, ToDoubleFunction<Summary> value) {
        return new Column(name, summary -> String.format(Locale.ROOT, "%.1f", value.applyAsDouble(summary)));
    }

    private static String quoted(String text) {
        return '"' + text.replace("\"", "\"\"") + '"';
    }

    private static String json(Comparison comparison) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = new ObjectMapper().createGenerator(bytes).useDefaultPrettyPrinter()) {
            json.writeStartObject();
            json.writeArrayFieldStart("summaries");
            for (Summary summary : comparison.summaries()) {
                json.writePOJO(summary);
            }
            json.writeEndArray();
            json.writeArrayFieldStart("costs");
            for (Summary.Cost cost : comparison.costs()) {
                json.writeStartObject();
                json.writeStringField("policy", cost.policy());
                json.writeNumberField("extraShare", cost.extraShare());
                json.writeNumberField("refusedShare", cost.refusedShare());
                json.writeNumberField("retriesDenied", cost.retriesDenied());
                json.writeNumberField("connections", cost.connections());
                json.writeArrayFieldStart("violations");
                for (String violation : cost.violations()) {
                    json.writeString(violation);
                }
                json.writeEndArray();
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeEndObject();
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    private static String html(Comparison comparison) {
        StringBuilder page = new StringBuilder("<!doctype html><meta charset=\"utf-8\"><title>Experiment</title>")
                .append("<style>body{font:15px sans-serif;margin:2em;max-width:960px}table{border-collapse:collapse}")
                .append("td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #ddd}</style>")
                .append("<h1>Experiment</h1>");
        page.append(image(creditOverTime(comparison), "Mean credit of the queries sent in each second, by policy"));
        page.append(image(creditByPolicy(comparison), "Mean credit, by policy and kind of query"));
        page.append("<table><tr>").append(joinColumns("", column -> "<th>" + column.name()));
        for (Summary summary : comparison.summaries()) {
            page.append("<tr>")
                    .append(joinColumns(
                            "", column -> "<td>" + escaped(column.text().apply(summary))));
        }
        page.append("</table><p>")
                .append(
                        comparison.hasNoViolations()
                                ? "No run violated an invariant."
                                : "Some runs violated invariants; see report.json.")
                .append("</p>\n");
        return page.toString();
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;");
    }

    private static JFreeChart creditOverTime(Comparison comparison) {
        XYSeriesCollection data = new XYSeriesCollection();
        for (int policy = 0; policy < comparison.costs().size(); policy++) {
            XYSeries series = new XYSeries(comparison.costs().get(policy).policy());
            for (int second = 0;
                    second < comparison.creditBySecond().get(policy).size();
                    second++) {
                series.add(second, comparison.creditBySecond().get(policy).get(second));
            }
            data.addSeries(series);
        }
        return ChartFactory.createXYLineChart(
                "", "second", "credit", data, PlotOrientation.VERTICAL, true, false, false);
    }

    private static JFreeChart creditByPolicy(Comparison comparison) {
        DefaultCategoryDataset data = new DefaultCategoryDataset();
        comparison.summaries().forEach(summary -> data.addValue(summary.credit(), summary.kind(), summary.policy()));
        return ChartFactory.createBarChart("", "", "credit", data, PlotOrientation.HORIZONTAL, true, false, false);
    }

    private static String image(JFreeChart chart, String caption) {
        BufferedImage image = chart.createBufferedImage(PLOT_WIDTH_PIXELS, PLOT_HEIGHT_PIXELS);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            ImageIO.write(image, "png", bytes);
        } catch (IOException impossible) {
            throw new UncheckedIOException("failed to encode a plot as PNG", impossible);
        }
        return "<figure><img alt=\"" + caption + "\" src=\"data:image/png;base64,"
                + Base64.getEncoder().encodeToString(bytes.toByteArray()) + "\"><figcaption>" + caption
                + "</figcaption></figure>";
    }
}
