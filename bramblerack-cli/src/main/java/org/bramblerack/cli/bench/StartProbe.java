package org.bramblerack.cli.bench;

import com.google.common.collect.ImmutableList;
import java.io.IOException;

/** The child process of {@link StartBench}: serves queries from cold code on and prints what that took. */
public final class StartProbe {
    private static final int SHARDS = 45;
    /** The queries of each step: the first answer, then up to the 400th and the 4,000th leaf call. */
    private static final ImmutableList<Integer> QUERIES = ImmutableList.of(1, 10, 100);

    private StartProbe() {}

    /** Prints a line with the number of leaf calls and the processor time in milliseconds for each step. */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        int calls = 0;
        for (int queries : QUERIES) {
            calls += PathCost.measure(SHARDS, queries).calls();
            System.out.println(StartBench.STEP + " " + calls + " " + StartBench.cpuMillis(ProcessHandle.current()));
        }
        System.exit(0);
    }
}
