package org.bramblerack.cli;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.bramblerack.cli.experiment.Experiments;
import org.bramblerack.process.document.ValidationError;

/** Compares routing policies by running the product's decisions against a model of a fleet. */
final class ExperimentCommand implements Command {
    private static final String JOBS = "jobs";
    /** More runs at a time than this would only wait for one another. */
    private static final int MOST_JOBS = 1_024;

    private static final String FOLDER = "out";

    @Override
    public String name() {
        return "experiment";
    }

    @Override
    public String arguments() {
        return "FILE";
    }

    @Override
    public String summary() {
        return "Compares routing policies by running the product's decisions against a model of a fleet.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(Option.builder()
                        .longOpt(JOBS)
                        .hasArg()
                        .argName("N")
                        .desc("runs at a time; half of the processors if left out")
                        .get())
                .addOption(Option.builder()
                        .longOpt(FOLDER)
                        .hasArg()
                        .argName("FOLDER")
                        .desc("where to write report.json, report.csv and report.html")
                        .get());
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream out) throws ParseException, IOException, InterruptedException {
        String name = Arguments.only(line, "FILE");
        int half = Math.max(1, Runtime.getRuntime().availableProcessors() / 2);
        int jobs = (int) Math.max(1, Math.min(MOST_JOBS, Arguments.number(line, JOBS, Integer.toString(half))));
        Optional<Path> folder =
                line.hasOption(FOLDER) ? Optional.of(Path.of(line.getOptionValue(FOLDER))) : Optional.empty();
        Either<ImmutableList<ValidationError>, Boolean> held =
                Experiments.run(TextFiles.read(Path.of(name)), jobs, folder, out);
        if (held.isLeft()) {
            Faults.print(name, held.getLeft(), out);
            return ExitCode.REFUSED;
        }
        return held.get() ? ExitCode.OK : ExitCode.REFUSED;
    }
}
