package org.bramblerack.cli.experiment;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Optional;
import org.bramblerack.process.document.ValidationError;

/** Runs the experiment of a file and shows what came of it. Stateless. */
public final class Experiments {
    private Experiments() {}

    /**
     * Reads an experiment, runs it and reports.
     *
     * @param text the file
     * @param jobs how many runs go on at a time
     * @param folder where to write the report as JSON, CSV and HTML, if it is wanted
     * @return the faults of the file, or whether everything that must hold held
     * @throws IOException if the report cannot be written
     * @throws InterruptedException if the thread is interrupted meanwhile
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
