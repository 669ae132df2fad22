package org.bramblerack.process.agreement;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * The delays of the log protocol.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param heartbeatInterval how often a leader sends to a follower that has nothing to receive
 * @param electionTimeout the shortest time without a leader after which a voter asks for an election; the longest is
 *     twice it
 */
public record RaftTimings(Duration heartbeatInterval, Duration electionTimeout) {
    /** Delays that suit one-way delays of up to 10 milliseconds. */
    public static final RaftTimings DEFAULT = new RaftTimings(Duration.ofMillis(75), Duration.ofMillis(400));

    /** Refuses an election time that is not at least three heartbeats. */
    public RaftTimings {
        checkArgument(
                !heartbeatInterval.isZero() && !heartbeatInterval.isNegative(),
                "heartbeat %s is not positive",
                heartbeatInterval);
        checkArgument(
                electionTimeout.compareTo(heartbeatInterval.multipliedBy(3)) >= 0,
                "election time %s is less than three heartbeats of %s",
                electionTimeout,
                heartbeatInterval);
    }
}
