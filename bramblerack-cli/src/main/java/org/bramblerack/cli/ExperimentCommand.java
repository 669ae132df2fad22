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

/** Compares routing policies by running the production routing code against a simulated fleet. */
final class ExperimentCommand implements Command {
    private static final String JOBS = "jobs";
    private static final int MAX_JOBS = 1_024;

    private static final String OUT = "out";

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
        return "Compares routing policies by running the production routing code against a simulated fleet.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(Option.builder()
                        .longOpt(JOBS)
                        .hasArg()
                        .argName("N")
                        .desc("the number of concurrent runs; half of the processors if missing")
                        .get())
                .addOption(Option.builder()
                        .longOpt(OUT)
                        .hasArg()
                        .argName("FOLDER")
                        .desc("the folder for report.json, report.csv and report.html")
                        .get());
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream out) throws ParseException, IOException, InterruptedException {
        String name = Arguments.singleArgument(line, "FILE");
        int defaultJobs = Math.max(1, Runtime.getRuntime().availableProcessors() / 2);
        int jobs = (int)
                Math.max(1, Math.min(MAX_JOBS, Arguments.nonNegativeLong(line, JOBS, Integer.toString(defaultJobs))));
        Optional<Path> folder = line.hasOption(OUT) ? Optional.of(Path.of(line.getOptionValue(OUT))) : Optional.empty();
        Either<ImmutableList<ValidationError>, Boolean> result =
                Experiments.run(TextFiles.read(Path.of(name)), jobs, folder, out);
        if (result.isLeft()) {
            ValidationErrors.print(name, result.getLeft(), out);
            return ExitCode.REFUSED;
        }
        return result.get() ? ExitCode.OK : ExitCode.REFUSED;
    }
}
