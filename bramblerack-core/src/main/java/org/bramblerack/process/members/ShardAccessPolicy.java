package org.bramblerack.process.members;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Decides, at the leader, whether hosts connect to the leafs of shards themselves or ask through a few that do.
 *
 * <p>A query asks every shard, so the queries that one host takes say how often it calls a leaf. A host that calls each
 * leaf every few seconds finds its connections closed and knows nothing of how the leaf does; then a few holders, which
 * make the calls of all, serve better. Where each host calls every leaf many times a second, it knows as much by
 * itself, and a holder would only be a queue on the way.
 *
 * <p>Invariant: the decision changes only after the rates have spoken for it without a break, so that a moment without
 * callers, or a fleet that is half down, moves nothing. Not safe for use by several threads.
 */
public final class ShardAccessPolicy {
    /**
     * Queries a second for each host. Holders raised the share of what queries earned by 0.1 at 0.4 queries a second
     * and host (18 hosts, 60 shards of 2) and cost 0.06 to 0.45 at 8 (8 hosts, 20 shards of 2), as measured on whole
     * fleets. Between these nothing was measured; the two limits lie apart so that a rate between them keeps what is in
     * force.
     */
    private static final double USE_HOLDERS_BELOW_QUERIES_PER_SECOND = 2;

    private static final double CONNECT_DIRECTLY_ABOVE_QUERIES_PER_SECOND = 4;
    /** Fewer queries a minute in the whole fleet say nothing of its usual load. */
    private static final int MIN_QUERIES_PER_MINUTE = 60;

    /** For how long the rates must speak for a change. */
    static final Duration CONFIRMATION_PERIOD = Duration.ofSeconds(4);
    /** Connections move with the decision, so it is not changed again sooner. */
    static final Duration MIN_TIME_BETWEEN_CHANGES = Duration.ofSeconds(15);

    private Optional<Long> changeWantedSinceNanos = Optional.empty();
    private Optional<Long> lastChangeNanos = Optional.empty();

    /**
     * Looks at the rates; call it about every second.
     *
     * @param throughHolders what is in force
     * @param entryHosts how many hosts take requests of callers
     * @param queriesPerMinute what they take together, if it is known
     * @return what should be in force from now on, if that is something else
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
