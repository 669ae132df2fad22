package org.bramblerack.cli.experiment;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.bramblerack.process.leaf.RoutingPolicy;

/**
 * The routing policies to compare, and the fleet, loads and injected faults that each of them is run with.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param length how long callers send queries
 * @param seeds how many runs of each policy; run number n has the same arrivals and faults under every policy
 */
record Experiment(
        Fleet fleet,
        ImmutableList<Load> loads,
        ImmutableList<InjectedFault> faults,
        ImmutableList<Policy> policies,
        Duration length,
        int seeds) {
    /** A routing policy and its name in the report. */
    record Policy(String name, RoutingPolicy routing) {}
}
