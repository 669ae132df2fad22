package org.bramblerack.process.agreement;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * The heartbeat interval and the election timeout of the Raft protocol.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param heartbeatInterval how often a leader sends to a follower without new entries
 * @param electionTimeout the minimum time without leader contact after which a voter starts an election; the actual
 *     timeout is random and less than twice as long
 */
public record RaftTimings(Duration heartbeatInterval, Duration electionTimeout) {
    /** Timings for one-way network delays of up to 10 milliseconds. */
    public static final RaftTimings DEFAULT = new RaftTimings(Duration.ofMillis(75), Duration.ofMillis(400));

    /** Rejects a heartbeat interval that is not positive and an election timeout below three such intervals. */
    public RaftTimings {
        checkArgument(
                !heartbeatInterval.isZero() && !heartbeatInterval.isNegative(),
                "heartbeat interval %s is not positive",
                heartbeatInterval);
        checkArgument(
                electionTimeout.compareTo(heartbeatInterval.multipliedBy(3)) >= 0,
                "election timeout %s is less than three heartbeat intervals of %s",
                electionTimeout,
                heartbeatInterval);
    }
}
