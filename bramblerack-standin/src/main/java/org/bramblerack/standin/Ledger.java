package org.bramblerack.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the calls, once-only runs and refused connections of all stand-in upstreams.
 *
 * <p>Safe for use by many threads.
 */
public final class Ledger {
    private final Map<String, LongAdder> runs = new ConcurrentHashMap<>();
    private final LongAdder calls = new LongAdder();
    private final LongAdder finished = new LongAdder();
    private final LongAdder cancelled = new LongAdder();
    private final LongAdder refused = new LongAdder();
    private final LongAdder refusedConnections = new LongAdder();

    void recordRun(String requestId) {
        runs.computeIfAbsent(requestId, unused -> new LongAdder()).increment();
    }

    void recordCall() {
        calls.increment();
    }

    void recordFinished() {
        finished.increment();
    }

    void recordCancelled() {
        cancelled.increment();
    }

    void recordRefused() {
        refused.increment();
    }

    void recordRefusedConnection() {
        refusedConnections.increment();
    }

    /** Returns how many times a once-only request ran. */
    public long runCount(String requestId) {
        LongAdder count = runs.get(requestId);
        return count == null ? 0 : count.sum();
    }

    /** Returns the highest run count of any once-only request. */
    public long maxRuns() {
        return runs.values().stream().mapToLong(LongAdder::sum).max().orElse(0);
    }

    /** Returns how many calls were received. */
    public long calls() {
        return calls.sum();
    }

    /** Returns how many calls were processed to the end. */
    public long finished() {
        return finished.sum();
    }

    public long cancelled() {
        return cancelled.sum();
    }

    /** Returns how many calls were refused, cancelled ones included. */
    public long refused() {
        return refused.sum();
    }

    /** Returns how many connections were refused because the connection limit was reached. */
    public long refusedConnections() {
        return refusedConnections.sum();
    }
}
