package org.bramblerack.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.bramblerack.cli.bench.Bench;
import org.bramblerack.cli.bench.Benches;
import org.bramblerack.cli.bench.Report;

/** Runs a benchmark and writes its results, or lists the benchmarks if no name is given. */
final class BenchCommand implements Command {
    private static final String DEFAULT_SEED = "1";

    @Override
    public String name() {
        return "bench";
    }

    @Override
    public String arguments() {
        return "NAME";
    }

    @Override
    public String summary() {
        return "Runs a benchmark; lists the benchmarks if no name is given.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(null, "seed", true, "the random seed of the load and the stand-ins")
                .addOption(null, "results", true, "the folder for the table and the plot; bench-results if missing");
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream out) throws ParseException, IOException, InterruptedException {
        if (line.getArgList().isEmpty()) {
            Benches.all().forEach(bench -> out.printf("%-12s %s%n", bench.name(), bench.summary()));
            return ExitCode.OK;
        }
        String name = Arguments.singleArgument(line, "NAME");
        Optional<Bench> bench =
                Benches.all().stream().filter(each -> each.name().equals(name)).findFirst();
        if (bench.isEmpty()) {
            throw new ParseException("there is no benchmark " + name + "; ./bramblerack bench lists the benchmarks");
        }
        Report report = new Report(out);
        boolean withinBounds = bench.get().run(report, Arguments.nonNegativeLong(line, "seed", DEFAULT_SEED));
        report.write(Path.of(line.getOptionValue("results", "bench-results")), name);
        return withinBounds ? ExitCode.OK : ExitCode.REFUSED;
    }
}
