package org.bramblerack.connection;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import org.bramblerack.version.UpstreamLimits;
import org.bramblerack.version.UpstreamName;

/**
 * Which hosts hold the connections to an upstream, and how many each may open.
 *
 * <p>The holders are the first hosts of the upstream's own availability zone in the order of a rendezvous hash, so
 * every host computes the same ones from the same list, and a zone that is cut off keeps what it needs to serve itself.
 *
 * <p>The fact that keeps the sum safe: the list of hosts and the limits are the same agreed input everywhere, and a
 * share allows for {@value #MAX_INCARNATIONS} lives of each holder at once, because an upstream may still count the
 * connections of a holder that vanished. A holder opens connections only after {@link #startDelayNanos} of its life, so
 * no more than that many lives can have open connections within the linger time. No view of who is alive enters.
 *
 * <p>Immutable and safe for use by many threads.
 */
public final class HolderAssignment {
    /** How many lives of one holder an upstream may count connections of at once. */
    static final int MAX_INCARNATIONS = 3;

    /** How many hosts hold the connections to one upstream, if its zone has as many. */
    static final int MAX_HOLDERS = 2;

    private final ImmutableList<String> holders;
    private final int share;

    private HolderAssignment(ImmutableList<String> holders, int share) {
        this.holders = holders;
        this.share = share;
    }

    /**
     * Computes the assignment of an upstream.
     *
     * @param upstream the upstream
     * @param limits the limits of its service
     * @param zoneHosts the names of all hosts of its availability zone, live or not
     */
    public static HolderAssignment compute(UpstreamName upstream, UpstreamLimits limits, List<String> zoneHosts) {
        int affordable = limits.connections() / MAX_INCARNATIONS;
        int count = Math.min(Math.min(MAX_HOLDERS, zoneHosts.size()), affordable);
        ImmutableList<String> holders = zoneHosts.stream()
                .sorted(Comparator.comparingLong((String host) -> weight(upstream, host))
                        .reversed()
                        .thenComparing(Comparator.naturalOrder()))
                .limit(count)
                .collect(ImmutableList.toImmutableList());
        int share = holders.isEmpty() ? 0 : limits.connections() / (MAX_INCARNATIONS * holders.size());
        return new HolderAssignment(holders, share);
    }

    /** Returns how long a process must have lived before it opens connections to an upstream. */
    public static long startDelayNanos(UpstreamLimits limits) {
        checkArgument(MAX_INCARNATIONS > 1, "lives %s", MAX_INCARNATIONS);
        return limits.connectionLinger().toNanos() / (MAX_INCARNATIONS - 1);
    }

    /** Returns the holders; the first one is preferred. */
    public ImmutableList<String> holders() {
        return holders;
    }

    /** Returns how many connections each holder may have open at once. */
    public int share() {
        return share;
    }

    private static long weight(UpstreamName upstream, String host) {
        return Hashing.murmur3_128()
                .hashString(upstream + "|" + host, StandardCharsets.UTF_8)
                .asLong();
    }
}
