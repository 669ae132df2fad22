package org.bramblerack.cli.bench;

import com.google.common.collect.ImmutableList;
import java.io.IOException;

/** The child process of {@link StartBench}: serves queries from a cold JVM and prints the CPU time used. */
public final class StartProbe {
    private static final int SHARDS = 45;
    /** The number of queries of each step. */
    private static final ImmutableList<Integer> QUERIES = ImmutableList.of(1, 10, 100);

    private StartProbe() {}

    /** Prints for each step the total of leaf calls so far and the CPU time used so far in milliseconds. */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        int calls = 0;
        for (int queries : QUERIES) {
            calls += PathCost.measure(SHARDS, queries).calls();
            System.out.println(StartBench.STEP + " " + calls + " " + StartBench.cpuMillis(ProcessHandle.current()));
        }
        System.exit(0);
    }
}
