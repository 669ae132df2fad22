package org.bramblerack.cli.experiment;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.bramblerack.process.leaf.RoutingPolicy;

/**
 * What is to be compared: one fleet, its loads and troubles, and policies that decide for it.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param length how long callers send queries
 * @param seeds how many runs of each policy; run number n of every policy sees the same arrivals and troubles
 */
record Experiment(
        Fleet fleet,
        ImmutableList<Load> loads,
        ImmutableList<InjectedFault> faults,
        ImmutableList<Policy> policies,
        Duration length,
        int seeds) {
    /** A policy and what it is called. */
    record Policy(String name, RoutingPolicy routing) {}
}
