package org.bramblerack.cli.bench;

import java.io.IOException;

/** A benchmark of the {@code bench} subcommand. Implementations keep no state between runs. */
public interface Bench {
    /** Returns the name by which the command line selects this benchmark. */
    String name();

    /** Returns one line for the command line's help that says what is measured. */
    String summary();

    /**
     * Runs the benchmark and adds its results to the report.
     *
     * @return true if all results are within the benchmark's bounds
     */
    boolean run(Report report, long seed) throws IOException, InterruptedException;
}
