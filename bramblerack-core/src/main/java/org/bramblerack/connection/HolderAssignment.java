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
 * Assigns the hosts that hold the connections to an upstream, and the number of connections that each may open.
 *
 * <p>The holders are the first hosts of the upstream's own availability zone in the order of a rendezvous hash. Every
 * host computes the same holders from the same list, and a zone that is cut off can still reach its upstreams.
 *
 * <p>Invariant: all holders together stay within the upstream's connection limit. The list of hosts and the limits are
 * the same on every host, and no liveness information is used. An upstream may still count the connections of a holder
 * that crashed, so a share allows for {@value #MAX_INCARNATIONS} incarnations of each holder at once. A holder opens
 * connections only after {@link #startDelayNanos}, so no more incarnations than that can have connections that the
 * upstream counts.
 *
 * <p>Immutable and safe for use by many threads.
 */
public final class HolderAssignment {
    /** The maximum number of incarnations of one holder whose connections an upstream may count at once. */
    static final int MAX_INCARNATIONS = 3;

    /** The maximum number of holders of one upstream. */
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
     * @param limits the limits of the upstream's service
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

    /** Returns how long a process waits after its start before it opens connections to an upstream. */
    public static long startDelayNanos(UpstreamLimits limits) {
        checkArgument(MAX_INCARNATIONS > 1, "%s incarnations; 2 or more are needed", MAX_INCARNATIONS);
        return limits.connectionLinger().toNanos() / (MAX_INCARNATIONS - 1);
    }

    /** Returns the holders in order of preference. */
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
