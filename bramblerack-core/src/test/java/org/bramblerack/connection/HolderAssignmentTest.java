package org.bramblerack.connection;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.bramblerack.process.HostState;
import org.bramblerack.version.ServiceName;
import org.bramblerack.version.UpstreamLimits;
import org.bramblerack.version.UpstreamName;
import org.junit.jupiter.api.Test;

/** The connections of all holders stay within an upstream's limit, across restarts. */
final class HolderAssignmentTest {
    private static final ServiceName SERVICE = new ServiceName("p", "s");

    @Property(tries = 500, seed = "11")
    void theSharesOfAllHoldersInAllIncarnationsFitTheLimit(
            @ForAll @IntRange(min = 1, max = 100) int connections, @ForAll @IntRange(min = 0, max = 120) int hosts) {
        HolderAssignment assignment = HolderAssignment.compute(upstream(0), limits(connections), hosts(hosts));
        int most = assignment.holders().size() * HolderAssignment.MAX_INCARNATIONS * assignment.share();
        assertThat(most).isAtMost(connections);
        assertThat(assignment.holders().size()).isAtMost(HolderAssignment.MAX_HOLDERS);
    }

    /** Random incarnations of one holder; the connections of each still count for the linger time after its end. */
    @Property(tries = 1_000, seed = "12")
    void noSequenceOfRestartsPassesTheLimit(@ForAll List<@IntRange(min = 1, max = 12_000) Integer> lifetimesMs) {
        UpstreamLimits limits = limits(25);
        long delayMs =
                Duration.ofNanos(HolderAssignment.startDelayNanos(limits)).toMillis();
        long lingerMs = limits.connectionLinger().toMillis();
        int share = HolderAssignment.compute(upstream(0), limits, hosts(1)).share();
        Map<Long, Integer> changes = new TreeMap<>();
        long startMs = 0;
        for (int lifetimeMs : lifetimesMs) {
            if (lifetimeMs >= delayMs) {
                changes.merge(startMs + delayMs, share, Integer::sum);
                changes.merge(startMs + lifetimeMs + lingerMs, -share, Integer::sum);
            }
            startMs += lifetimeMs;
        }
        int open = 0;
        for (int change : changes.values()) {
            open += change;
            assertThat(open).isAtMost(limits.connections());
        }
    }

    @Test
    void thirteenHostsAndTwentyFiveConnectionsCoverTheSlots() {
        assertThat(HolderAssignment.compute(upstream(0), limits(25), hosts(13)).share())
                .isAtLeast(2);
    }

    @Test
    void theOrderOfTheHostsDoesNotMatter() {
        ImmutableList<String> hosts = hosts(7);
        assertThat(HolderAssignment.compute(upstream(3), limits(25), hosts.reverse())
                        .holders())
                .isEqualTo(
                        HolderAssignment.compute(upstream(3), limits(25), hosts).holders());
    }

    @Test
    void upstreamsAreSpreadOverTheHostsOfAZone() {
        Map<String, Integer> held = new HashMap<>();
        for (int number = 0; number < 500; number++) {
            HolderAssignment assignment = HolderAssignment.compute(upstream(number), limits(25), hosts(5));
            held.merge(assignment.holders().get(0), 1, Integer::sum);
        }
        held.values().forEach(count -> assertThat(count).isGreaterThan(60));
    }

    @Test
    void aSilentHolderIsTriedLast() {
        HolderAssignment assignment = HolderAssignment.compute(upstream(0), limits(25), hosts(3));
        String preferred = assignment.holders().get(0);
        assertThat(HolderOrder.of(assignment, host -> HostState.LIVE)).isEqualTo(assignment.holders());
        assertThat(HolderOrder.of(assignment, host -> host.equals(preferred) ? HostState.SILENT : HostState.LEAVING)
                        .get(1))
                .isEqualTo(preferred);
    }

    private static UpstreamName upstream(int number) {
        return new UpstreamName(SERVICE, "u" + number);
    }

    private static UpstreamLimits limits(int connections) {
        return new UpstreamLimits(1, connections, Duration.ofSeconds(10), 5);
    }

    private static ImmutableList<String> hosts(int count) {
        return IntStream.range(0, count).mapToObj(number -> "h" + number).collect(ImmutableList.toImmutableList());
    }
}
