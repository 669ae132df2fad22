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
    private static final double HOLD_BELOW = 2;

    private static final double CONNECT_ABOVE = 4;
    /** Fewer queries a minute in the whole fleet say nothing of its usual load. */
    private static final int LEAST_QUERIES_A_MINUTE = 60;

    /** For how long the rates must speak for a change. */
    static final Duration CONFIRMED_AFTER = Duration.ofSeconds(4);
    /** Connections move with the decision, so it is not changed again sooner. */
    static final Duration LEAST_KEPT = Duration.ofSeconds(15);

    private Optional<Long> wantedSinceNanos = Optional.empty();
    private Optional<Long> changedNanos = Optional.empty();

    /**
     * Looks at the rates; call it about every second.
     *
     * @param throughHolders what is in force
     * @param entryHosts how many hosts take requests of callers
     * @param queriesAMinute what they take together, if it is known
     * @return what should be in force from now on, if that is something else
     */
    public Optional<Boolean> decide(boolean throughHolders, int entryHosts, OptionalInt queriesAMinute, long nowNanos) {
        if (!speaksForChange(throughHolders, entryHosts, queriesAMinute)) {
            wantedSinceNanos = Optional.empty();
            return Optional.empty();
        }
        if (wantedSinceNanos.isEmpty()) {
            wantedSinceNanos = Optional.of(nowNanos);
        }
        boolean confirmed = nowNanos - wantedSinceNanos.get() >= CONFIRMED_AFTER.toNanos();
        boolean kept = changedNanos.isEmpty() || nowNanos - changedNanos.get() >= LEAST_KEPT.toNanos();
        if (!confirmed || !kept) {
            return Optional.empty();
        }
        changedNanos = Optional.of(nowNanos);
        wantedSinceNanos = Optional.empty();
        return Optional.of(!throughHolders);
    }

    private static boolean speaksForChange(boolean throughHolders, int entryHosts, OptionalInt queriesAMinute) {
        if (queriesAMinute.isEmpty() || queriesAMinute.getAsInt() < LEAST_QUERIES_A_MINUTE || entryHosts == 0) {
            return false;
        }
        double aSecondAndHost =
                queriesAMinute.getAsInt() / (double) Duration.ofMinutes(1).toSeconds() / entryHosts;
        return throughHolders ? aSecondAndHost > CONNECT_ABOVE : aSecondAndHost < HOLD_BELOW;
    }
}
