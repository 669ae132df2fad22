package org.bramblerack.cli.bench;

import com.sun.management.OperatingSystemMXBean;
import com.sun.management.ThreadMXBean;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import org.bramblerack.daemon.gateway.WarmUp;
import org.bramblerack.daemon.leaf.CallHeaders;
import org.bramblerack.process.MonotonicClock;

/**
 * The cost of a leaf call of a routed query, including stand-in leaves and callers, which run in the same process.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param calls the number of leaf calls made
 * @param cpuMicros the CPU time of the process for each call, in microseconds
 * @param allocatedBytes the bytes allocated on the heap for each call
 */
public record PathCost(int calls, double cpuMicros, double allocatedBytes) {
    private static final String LOOPBACK = "127.0.0.1";
    private static final Duration TIMEOUT = Duration.ofMinutes(2);
    private static final double NANOS_PER_MICRO = 1_000;
    private static final CallHeaders HEADERS = new CallHeaders(
            "Request-Id",
            "Deadline",
            "Expected-Leaf",
            "Leaf-Id",
            "Signature",
            "Load",
            "Not-Run",
            "Retry-After",
            "Signatures",
            "Missing",
            "Team");

    /**
     * Serves queries one after the other and returns the cost of their leaf calls.
     *
     * @throws IOException if no port is free
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public static PathCost measure(int shards, int queries) throws IOException, InterruptedException {
        int firstPort = FreePorts.next();
        FreePorts.next();
        FreePorts.next();
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        try {
            WarmUp run = new WarmUp(
                    HEADERS,
                    group,
                    LOOPBACK,
                    firstPort,
                    MonotonicClock.system(),
                    new WarmUp.Size(shards, queries, TIMEOUT));
            long cpuNanos = cpuNanos();
            long bytes = bytesAllocatedSoFar();
            run.run();
            int calls = Math.max(1, run.leafCalls());
            return new PathCost(
                    run.leafCalls(),
                    (cpuNanos() - cpuNanos) / NANOS_PER_MICRO / calls,
                    (double) (bytesAllocatedSoFar() - bytes) / calls);
        } finally {
            group.shutdownGracefully().await();
        }
    }

    private static long cpuNanos() {
        return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime();
    }

    private static long bytesAllocatedSoFar() {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long sum = 0;
        for (long bytes : threads.getThreadAllocatedBytes(threads.getAllThreadIds())) {
            sum += Math.max(0, bytes);
        }
        return sum;
    }
}
