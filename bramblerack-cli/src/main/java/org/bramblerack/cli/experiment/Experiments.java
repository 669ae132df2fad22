package org.bramblerack.cli.experiment;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Optional;
import org.bramblerack.process.document.ValidationError;

/** Runs the experiment that a file describes and reports the results. Stateless. */
public final class Experiments {
    private Experiments() {}

    /**
     * Reads and runs an experiment, prints the results and writes them to a folder if one is given.
     *
     * @param text the content of the experiment file
     * @param jobs how many runs execute at a time
     * @param folder where to write the report as JSON, CSV and HTML
     * @return the validation errors of the file, or true if no run violated an invariant
     * @throws IOException if the report cannot be written
     * @throws InterruptedException if the thread is interrupted while it waits for runs
     */
    public static Either<ImmutableList<ValidationError>, Boolean> run(
            String text, int jobs, Optional<Path> folder, PrintStream out) throws IOException, InterruptedException {
        Either<ImmutableList<ValidationError>, Experiment> read = ExperimentReader.read(text);
        if (read.isLeft()) {
            return Either.left(read.getLeft());
        }
        Comparison comparison = Comparison.run(read.get(), jobs, out::println);
        ExperimentReport.print(comparison, out);
        if (folder.isPresent()) {
            ExperimentReport.write(comparison, folder.get());
        }
        return Either.right(comparison.hasNoViolations());
    }
}
