package org.bramblerack.process.agreement;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSortedSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.bramblerack.wire.RaftMessage;
import org.junit.jupiter.api.Test;

/**
 * Restarts six voters within 0.4 s of one another, with message delays of 20 to 100 ms, and checks that split votes
 * seldom delay the first leader.
 */
final class JointRestartTest {
    private static final ImmutableSortedSet<String> VOTERS = ImmutableSortedSet.of("a", "b", "c", "d", "e", "f");
    private static final long MILLI_NANOS = Duration.ofMillis(1).toNanos();
    private static final long TICK_NANOS = 15 * MILLI_NANOS;
    private static final long START_SPREAD_NANOS = 400 * MILLI_NANOS;
    private static final long MIN_DELAY_NANOS = 20 * MILLI_NANOS;
    private static final long MAX_DELAY_NANOS = 100 * MILLI_NANOS;
    private static final long LIMIT_NANOS = 5_000 * MILLI_NANOS;
    private static final int SEEDS = 200;

    @Test
    void mostJointRestartsNeedOneElection() {
        List<Long> tookMillis = new ArrayList<>();
        int electedInFirstTerm = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Outcome outcome = new Cluster(seed).elect();
            tookMillis.add(outcome.afterQuorumNanos() / MILLI_NANOS);
            electedInFirstTerm += outcome.term() == 1 ? 1 : 0;
        }
        tookMillis.sort(Comparator.naturalOrder());
        assertThat(electedInFirstTerm).isAtLeast(SEEDS * 95 / 100);
        assertThat(tookMillis.get(SEEDS / 2)).isAtMost(400);
        assertThat(tookMillis.get(SEEDS * 95 / 100)).isAtMost(800);
    }

    /**
     * The result of an election.
     *
     * @param afterQuorumNanos the time from the start of a quorum of voters to the election of the leader
     */
    private record Outcome(long term, long afterQuorumNanos) {}

    private record Delivery(long atNanos, long order, RaftMessage message) {}

    /** Voters that start at random times, and a network with random delays. */
    private static final class Cluster {
        private final SplittableRandom random;
        private final Map<String, Long> startNanos = new TreeMap<>();
        private final Map<String, RaftNode> running = new TreeMap<>();
        private final PriorityQueue<Delivery> inFlight =
                new PriorityQueue<>(Comparator.comparingLong(Delivery::atNanos).thenComparingLong(Delivery::order));
        private long sent;

        Cluster(int seed) {
            random = new SplittableRandom(seed);
            VOTERS.forEach(voter -> startNanos.put(voter, random.nextLong(START_SPREAD_NANOS)));
        }

        Outcome elect() {
            List<Long> starts = new ArrayList<>(startNanos.values());
            starts.sort(Comparator.naturalOrder());
            long quorumNanos = starts.get(VOTERS.size() / 2);
            for (long nowNanos = 0; nowNanos < LIMIT_NANOS; nowNanos += TICK_NANOS) {
                step(nowNanos);
                for (RaftNode node : running.values()) {
                    if (node.role() == RaftRole.LEADER) {
                        return new Outcome(node.term(), nowNanos - quorumNanos);
                    }
                }
            }
            return new Outcome(Long.MAX_VALUE, LIMIT_NANOS);
        }

        private void step(long nowNanos) {
            startNanos.forEach((voter, atNanos) -> {
                if (atNanos <= nowNanos && !running.containsKey(voter)) {
                    running.put(
                            voter,
                            new RaftNode(
                                    voter,
                                    VOTERS,
                                    2,
                                    RaftTimings.DEFAULT,
                                    StoredState.EMPTY,
                                    random.split(),
                                    nowNanos));
                }
            });
            while (!inFlight.isEmpty() && inFlight.peek().atNanos() <= nowNanos) {
                RaftMessage message = inFlight.remove().message();
                RaftNode to = running.get(message.getTo());
                if (to != null) {
                    send(to.receive(message, nowNanos), nowNanos);
                }
            }
            running.values().forEach(node -> send(node.tick(nowNanos), nowNanos));
        }

        private void send(List<RaftAction> actions, long nowNanos) {
            for (RaftAction action : actions) {
                if (action instanceof RaftAction.Send send) {
                    long delayNanos = MIN_DELAY_NANOS + random.nextLong(MAX_DELAY_NANOS - MIN_DELAY_NANOS);
                    inFlight.add(new Delivery(nowNanos + delayNanos, sent++, send.message()));
                }
            }
        }
    }
}
