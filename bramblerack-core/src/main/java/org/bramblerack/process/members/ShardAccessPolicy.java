package org.bramblerack.process.members;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Decides, at the leader, whether hosts connect to the leaves of shards directly or call them through a few holders.
 *
 * <p>A query calls every shard, so a host's query rate is the rate at which it calls each shard. At low rates, a host's
 * connections are closed for idleness and it has no recent measurements of the leaves; holders, which make the calls of
 * all hosts, have both. At high rates, direct calls have both as well, and a holder only adds a hop and a queue.
 *
 * <p>Invariant: the decision changes only after the rates have favored the change continuously for
 * {@link #CONFIRMATION_PERIOD}, so that a short drop in load or a partial outage has no effect. Not safe for use by
 * several threads.
 */
public final class ShardAccessPolicy {
    /**
     * Per host. Lower than the threshold below, so that a rate between the two changes nothing (hysteresis). On whole
     * fleets, holders raised the value of answers at 0.4 queries a second and host, and lowered it at 8.
     */
    private static final double USE_HOLDERS_BELOW_QUERIES_PER_SECOND = 2;

    private static final double CONNECT_DIRECTLY_ABOVE_QUERIES_PER_SECOND = 4;
    /** Below this rate of the whole fleet, the load is too low to decide. */
    private static final int MIN_QUERIES_PER_MINUTE = 60;

    /** How long the rates must favor a change before it is made. */
    static final Duration CONFIRMATION_PERIOD = Duration.ofSeconds(4);
    /** Each change opens and closes many connections. */
    static final Duration MIN_TIME_BETWEEN_CHANGES = Duration.ofSeconds(15);

    private Optional<Long> changeWantedSinceNanos = Optional.empty();
    private Optional<Long> lastChangeNanos = Optional.empty();

    /**
     * Evaluates the rates; call it about once a second.
     *
     * @param throughHolders the access mode in force: true for holders, false for direct connections
     * @param entryHosts the number of hosts that receive requests from callers
     * @param queriesPerMinute the queries that they receive together; empty if not all hosts have reported
     * @return the access mode to change to, or nothing if it stays
     */
    public Optional<Boolean> decide(
            boolean throughHolders, int entryHosts, OptionalInt queriesPerMinute, long nowNanos) {
        if (!favorsChange(throughHolders, entryHosts, queriesPerMinute)) {
            changeWantedSinceNanos = Optional.empty();
            return Optional.empty();
        }
        if (changeWantedSinceNanos.isEmpty()) {
            changeWantedSinceNanos = Optional.of(nowNanos);
        }
        boolean confirmed = nowNanos - changeWantedSinceNanos.get() >= CONFIRMATION_PERIOD.toNanos();
        boolean mayChangeAgain =
                lastChangeNanos.isEmpty() || nowNanos - lastChangeNanos.get() >= MIN_TIME_BETWEEN_CHANGES.toNanos();
        if (!confirmed || !mayChangeAgain) {
            return Optional.empty();
        }
        lastChangeNanos = Optional.of(nowNanos);
        changeWantedSinceNanos = Optional.empty();
        return Optional.of(!throughHolders);
    }

    private static boolean favorsChange(boolean throughHolders, int entryHosts, OptionalInt queriesPerMinute) {
        if (queriesPerMinute.isEmpty() || queriesPerMinute.getAsInt() < MIN_QUERIES_PER_MINUTE || entryHosts == 0) {
            return false;
        }
        double queriesPerSecondAndHost =
                queriesPerMinute.getAsInt() / (double) Duration.ofMinutes(1).toSeconds() / entryHosts;
        return throughHolders
                ? queriesPerSecondAndHost > CONNECT_DIRECTLY_ABOVE_QUERIES_PER_SECOND
                : queriesPerSecondAndHost < USE_HOLDERS_BELOW_QUERIES_PER_SECOND;
    }
}
