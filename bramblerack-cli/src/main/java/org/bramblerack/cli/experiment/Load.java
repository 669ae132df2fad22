package org.bramblerack.cli.experiment;

import java.time.Duration;

/**
 * One kind of query that callers send.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param name the name of the kind
 * @param perSecond the rate of queries from all callers, which arrive as a Poisson process
 * @param work how long a leaf works on one call, on average before {@code tailFactor} applies
 * @param spread the standard deviation of the logarithm of the work
 * @param tailShare the share of calls that take {@code tailFactor} times as long
 * @param tailFactor how many times as long the calls of the tail take
 * @param goal the time within which an answer earns full credit
 * @param deadline how long a caller waits, retries included
 * @param minCoverage the least share of shards that an answer must cover
 * @param lateCredit the credit of an answer after the goal, as a share of full credit
 * @param maxAttempts how many leaves of a shard may be called
 * @param maxRetries how many times a caller retries a refused query
 */
record Load(
        String name,
        double perSecond,
        Duration work,
        double spread,
        double tailShare,
        double tailFactor,
        Duration goal,
        Duration deadline,
        double minCoverage,
        double lateCredit,
        int maxAttempts,
        int maxRetries) {}
