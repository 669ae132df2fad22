package org.bramblerack.cli.bench;

import java.io.IOException;

/** One benchmark. Implementations keep no state between runs. */
public interface Bench {
    /** Returns the name on the command line. */
    String name();

    /** Returns one sentence on what it measures. */
    String summary();

    /**
     * Runs.
     *
     * @return true if the figures are within the bounds that the benchmark states
     */
    boolean run(Report report, long seed) throws IOException, InterruptedException;
}
