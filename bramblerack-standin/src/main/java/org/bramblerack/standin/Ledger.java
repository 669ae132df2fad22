package org.bramblerack.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * What the stand-in upstreams were asked and did, for checks.
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

    /** Returns how often a once-only request ran. */
    public long runCount(String requestId) {
        LongAdder count = runs.get(requestId);
        return count == null ? 0 : count.sum();
    }

    /** Returns the most that any once-only request ran. */
    public long maxRuns() {
        return runs.values().stream().mapToLong(LongAdder::sum).max().orElse(0);
    }

    /** Returns how many calls arrived. */
    public long calls() {
        return calls.sum();
    }

    /** Returns how many calls were worked on to the end. */
    public long finished() {
        return finished.sum();
    }

    /** Returns how many calls were cancelled. */
    public long cancelled() {
        return cancelled.sum();
    }

    /** Returns how many calls were refused. */
    public long refused() {
        return refused.sum();
    }

    /** Returns how many connections were refused because the limit was reached. */
    public long refusedConnections() {
        return refusedConnections.sum();
    }
}
