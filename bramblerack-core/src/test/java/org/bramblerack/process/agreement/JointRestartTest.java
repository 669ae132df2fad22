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
 * Six voters in three regions that lose power together and come back within 0.4 s of one another, on processors that
 * have just started: a message takes 20 to 100 ms until it is answered, as logs of such starts show.
 */
final class JointRestartTest {
    private static final ImmutableSortedSet<String> VOTERS = ImmutableSortedSet.of("a", "b", "c", "d", "e", "f");
    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final long TICK = 15 * MILLI;
    private static final long START_WITHIN = 400 * MILLI;
    private static final long LEAST_DELAY = 20 * MILLI;
    private static final long MOST_DELAY = 100 * MILLI;
    private static final long LIMIT = 5_000 * MILLI;
    private static final int SEEDS = 200;

    @Test
    void mostJointRestartsNeedOneElection() {
        List<Long> tookMillis = new ArrayList<>();
        int firstTerm = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Outcome outcome = new World(seed).elect();
            tookMillis.add(outcome.afterQuorumNanos() / MILLI);
            firstTerm += outcome.term() == 1 ? 1 : 0;
        }
        tookMillis.sort(Comparator.naturalOrder());
        assertThat(firstTerm).isAtLeast(SEEDS * 95 / 100);
        assertThat(tookMillis.get(SEEDS / 2)).isAtMost(400);
        assertThat(tookMillis.get(SEEDS * 95 / 100)).isAtMost(800);
    }

    /**
     * How an election ended.
     *
     * @param afterQuorumNanos from the moment at which enough voters ran
     */
    private record Outcome(long term, long afterQuorumNanos) {}

    private record Delivery(long atNanos, long order, RaftMessage message) {}

    /** Voters, their messages on the way, and time. */
    private static final class World {
        private final SplittableRandom random;
        private final Map<String, Long> startNanos = new TreeMap<>();
        private final Map<String, RaftNode> running = new TreeMap<>();
        private final PriorityQueue<Delivery> onTheWay =
                new PriorityQueue<>(Comparator.comparingLong(Delivery::atNanos).thenComparingLong(Delivery::order));
        private long sent;

        World(int seed) {
            random = new SplittableRandom(seed);
            VOTERS.forEach(voter -> startNanos.put(voter, random.nextLong(START_WITHIN)));
        }

        Outcome elect() {
            List<Long> starts = new ArrayList<>(startNanos.values());
            starts.sort(Comparator.naturalOrder());
            long quorumNanos = starts.get(VOTERS.size() / 2);
            for (long nowNanos = 0; nowNanos < LIMIT; nowNanos += TICK) {
                step(nowNanos);
                for (RaftNode node : running.values()) {
                    if (node.role() == RaftRole.LEADER) {
                        return new Outcome(node.term(), nowNanos - quorumNanos);
                    }
                }
            }
            return new Outcome(Long.MAX_VALUE, LIMIT);
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
            while (!onTheWay.isEmpty() && onTheWay.peek().atNanos() <= nowNanos) {
                RaftMessage message = onTheWay.remove().message();
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
                    long delayNanos = LEAST_DELAY + random.nextLong(MOST_DELAY - LEAST_DELAY);
                    onTheWay.add(new Delivery(nowNanos + delayNanos, sent++, send.message()));
                }
            }
        }
    }
}
