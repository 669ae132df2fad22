package org.bramblerack.process.agreement;

import static com.google.common.truth.Truth.assertThat;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableSortedSet;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.bramblerack.wire.RaftMessage;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Changes of the voters, one trouble at a time. */
final class VoterChangeTest {
    private static final RaftTimings TIMINGS = new RaftTimings(Duration.ofMillis(50), Duration.ofMillis(200));
    private static final long TICK_NANOS = Duration.ofMillis(10).toNanos();
    private static final ImmutableSortedSet<String> FIRST = ImmutableSortedSet.of("a", "b", "c");

    private final Map<String, RaftNode> nodes = new TreeMap<>();
    private final Map<String, FakeDisk> disks = new HashMap<>();
    private final Set<String> dark = new HashSet<>();
    private final Deque<RaftMessage> messages = new ArrayDeque<>();
    private long nowNanos;

    @BeforeEach
    void elect() {
        FIRST.forEach(name -> start(name, FIRST));
        run(100);
    }

    @Test
    void aHostThatLostItsDiskVotesAgainUnderANewName() {
        String lost = follower();
        nodes.remove(lost);
        start(lost + "#2", ImmutableSortedSet.of());
        run(100);
        ImmutableSortedSet<String> voters = node(leader()).voters();
        assertThat(voters).contains(lost + "#2");
        assertThat(voters).doesNotContain(lost);
        assertThat(voters).hasSize(3);
    }

    @Test
    void aHostAtANewAddressReplacesOneThatIsGone() {
        nodes.remove(follower());
        run(50);
        start("d", ImmutableSortedSet.of());
        run(400);
        assertThat(node(leader()).voters()).contains("d");
        assertThat(node(leader()).voters()).hasSize(3);
    }

    @Test
    void aHostThatStandsByDoesNotReplaceALiveOne() {
        start("d", ImmutableSortedSet.of());
        run(400);
        assertThat(node(leader()).voters()).isEqualTo(FIRST);
    }

    @Test
    void nobodyIsRemovedWithoutASuccessor() {
        dark.add(follower());
        run(400);
        assertThat(node(leader()).voters()).isEqualTo(FIRST);
    }

    /**
     * One voter missed the changes, another lost its disk, and the third is dark: the two that are left have not what
     * was agreed, and must not elect.
     */
    @Test
    void aMinorityThatMissedChangesAndAWipedVoterDoNotElect() {
        String behind = follower();
        dark.add(behind);
        RaftNode old = node(leader());
        String third = FIRST.stream()
                .filter(name -> !name.equals(behind) && !name.equals(leader()))
                .findFirst()
                .orElseThrow();
        assertThat(old.propose(1, ByteString.copyFromUtf8("agreed"))).isTrue();
        run(20);
        String leader = leader();
        nodes.remove(third);
        start(third + "#2", ImmutableSortedSet.of());
        dark.add(leader);
        dark.remove(behind);
        run(500);
        assertThat(node(behind).role()).isNotEqualTo(RaftRole.LEADER);
        assertThat(node(third + "#2").role()).isNotEqualTo(RaftRole.LEADER);
        dark.clear();
        run(500);
        assertThat(node(behind).appliedIndex()).isEqualTo(node(leader()).appliedIndex());
        assertThat(node(leader()).voters()).contains(third + "#2");
    }

    @Test
    void aVoterThatWasReplacedWhileItWasDarkStandsByWhenItReturns() {
        String gone = follower();
        dark.add(gone);
        start("d", ImmutableSortedSet.of());
        run(400);
        assertThat(node(leader()).voters()).doesNotContain(gone);
        dark.clear();
        run(400);
        assertThat(node(leader()).voters()).hasSize(3);
        assertThat(node(gone).voters()).isEqualTo(node(leader()).voters());
        assertThat(node(gone).isUpToDate(nowNanos)).isTrue();
    }

    @Test
    void votersOutliveASnapshotAndARestart() {
        nodes.remove(follower());
        start("d", ImmutableSortedSet.of());
        run(400);
        RaftNode node = node("d");
        perform("d", node.compact(ByteString.copyFromUtf8("state")));
        ImmutableSortedSet<String> voters = node.voters();
        StoredState stored = requireNonNull(disks.get("d")).crash();
        RaftNode restarted =
                new RaftNode("d", ImmutableSortedSet.of(), 1, TIMINGS, stored, new SplittableRandom(1), nowNanos);
        assertThat(restarted.voters()).isEqualTo(voters);
        assertThat(restarted.isVoter()).isTrue();
    }

    private void start(String name, ImmutableSortedSet<String> firstVoters) {
        disks.put(name, new FakeDisk(false));
        nodes.put(
                name,
                new RaftNode(
                        name,
                        firstVoters,
                        1,
                        TIMINGS,
                        StoredState.EMPTY,
                        new SplittableRandom(name.hashCode()),
                        nowNanos));
    }

    private void run(int ticks) {
        for (int tick = 0; tick < ticks; tick++) {
            nowNanos += TICK_NANOS;
            for (Map.Entry<String, RaftNode> entry : Map.copyOf(nodes).entrySet()) {
                if (!entry.getValue().isUpToDate(nowNanos) && !dark.contains(entry.getKey())) {
                    nodes.forEach((other, node) -> {
                        if (!dark.contains(other)) {
                            node.addLearner(entry.getKey(), nowNanos);
                        }
                    });
                }
                perform(entry.getKey(), entry.getValue().tick(nowNanos));
                perform(entry.getKey(), entry.getValue().flush(nowNanos));
            }
            deliver();
        }
    }

    private void deliver() {
        while (!messages.isEmpty()) {
            RaftMessage message = messages.poll();
            RaftNode target = nodes.get(message.getTo());
            boolean lost = dark.contains(message.getFrom()) || dark.contains(message.getTo());
            if (target != null && !lost) {
                perform(message.getTo(), target.receive(message, nowNanos));
            }
        }
    }

    private void perform(String name, List<RaftAction> actions) {
        FakeDisk disk = requireNonNull(disks.get(name));
        for (RaftAction action : actions) {
            if (action instanceof RaftAction.Send send) {
                messages.add(send.message());
            } else if (action instanceof RaftAction.Persist persist) {
                disk.write(persist);
                disk.sync();
            } else if (action instanceof RaftAction.SaveSnapshot save) {
                disk.write(save);
                disk.sync();
            }
        }
    }

    private RaftNode node(String name) {
        return requireNonNull(nodes.get(name));
    }

    private String leader() {
        return nodes.entrySet().stream()
                .filter(entry -> entry.getValue().role() == RaftRole.LEADER && !dark.contains(entry.getKey()))
                .map(Map.Entry::getKey)
                .findFirst()
                .orElseThrow();
    }

    private String follower() {
        String leader = leader();
        return FIRST.stream().filter(name -> !name.equals(leader)).findFirst().orElseThrow();
    }
}
