package org.bramblerack.cli.experiment;

import java.time.Duration;

/**
 * One kind of query that callers send.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param name the kind
 * @param perSecond queries a second from all callers, at moments drawn independently of one another
 * @param work what one call takes at a leaf, on average
 * @param spread the standard deviation of the logarithm of the work
 * @param tailShare the share of calls that take {@code tailFactor} times as long
 * @param tailFactor how much longer these take
 * @param goal within which an answer counts whole
 * @param deadline how long a caller waits
 * @param minCoverage the share of shards below which there is no answer
 * @param lateCredit what an answer after the goal is worth
 * @param maxAttempts how many leafs of a shard may be asked
 * @param maxRetries how often a caller tries again
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
