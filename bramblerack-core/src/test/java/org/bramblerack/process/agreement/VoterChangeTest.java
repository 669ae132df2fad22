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

/** Checks membership changes, with one fault at a time. */
final class VoterChangeTest {
    private static final RaftTimings TIMINGS = new RaftTimings(Duration.ofMillis(50), Duration.ofMillis(200));
    private static final long TICK_NANOS = Duration.ofMillis(10).toNanos();
    private static final ImmutableSortedSet<String> INITIAL_VOTERS = ImmutableSortedSet.of("a", "b", "c");

    private final Map<String, RaftNode> nodes = new TreeMap<>();
    private final Map<String, FakeDisk> disks = new HashMap<>();
    private final Set<String> unreachable = new HashSet<>();
    private final Deque<RaftMessage> messages = new ArrayDeque<>();
    private long nowNanos;

    @BeforeEach
    void elect() {
        INITIAL_VOTERS.forEach(name -> start(name, INITIAL_VOTERS));
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
    void aSpareHostDoesNotReplaceALiveVoter() {
        start("d", ImmutableSortedSet.of());
        run(400);
        assertThat(node(leader()).voters()).isEqualTo(INITIAL_VOTERS);
    }

    @Test
    void noVoterIsRemovedWithoutAReplacement() {
        unreachable.add(follower());
        run(400);
        assertThat(node(leader()).voters()).isEqualTo(INITIAL_VOTERS);
    }

    /**
     * One voter missed the changes, another lost its disk, and the third is unreachable: neither of the first two has
     * all committed entries, so they must not elect a leader.
     */
    @Test
    void aMinorityThatMissedChangesAndAWipedVoterDoNotElect() {
        String lagging = follower();
        unreachable.add(lagging);
        RaftNode oldLeader = node(leader());
        String wiped = INITIAL_VOTERS.stream()
                .filter(name -> !name.equals(lagging) && !name.equals(leader()))
                .findFirst()
                .orElseThrow();
        assertThat(oldLeader.propose(1, ByteString.copyFromUtf8("committed"))).isTrue();
        run(20);
        String leader = leader();
        nodes.remove(wiped);
        start(wiped + "#2", ImmutableSortedSet.of());
        unreachable.add(leader);
        unreachable.remove(lagging);
        run(500);
        assertThat(node(lagging).role()).isNotEqualTo(RaftRole.LEADER);
        assertThat(node(wiped + "#2").role()).isNotEqualTo(RaftRole.LEADER);
        unreachable.clear();
        run(500);
        assertThat(node(lagging).appliedIndex()).isEqualTo(node(leader()).appliedIndex());
        assertThat(node(leader()).voters()).contains(wiped + "#2");
    }

    @Test
    void aVoterReplacedWhileUnreachableRejoinsAsALearner() {
        String replaced = follower();
        unreachable.add(replaced);
        start("d", ImmutableSortedSet.of());
        run(400);
        assertThat(node(leader()).voters()).doesNotContain(replaced);
        unreachable.clear();
        run(400);
        assertThat(node(leader()).voters()).hasSize(3);
        assertThat(node(replaced).voters()).isEqualTo(node(leader()).voters());
        assertThat(node(replaced).isUpToDate(nowNanos)).isTrue();
    }

    @Test
    void votersSurviveASnapshotAndARestart() {
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

    private void start(String name, ImmutableSortedSet<String> initialVoters) {
        disks.put(name, new FakeDisk(false));
        nodes.put(
                name,
                new RaftNode(
                        name,
                        initialVoters,
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
                if (!entry.getValue().isUpToDate(nowNanos) && !unreachable.contains(entry.getKey())) {
                    nodes.forEach((other, node) -> {
                        if (!unreachable.contains(other)) {
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
            boolean lost = unreachable.contains(message.getFrom()) || unreachable.contains(message.getTo());
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
                .filter(entry -> entry.getValue().role() == RaftRole.LEADER && !unreachable.contains(entry.getKey()))
                .map(Map.Entry::getKey)
                .findFirst()
                .orElseThrow();
    }

    private String follower() {
        String leader = leader();
        return INITIAL_VOTERS.stream()
                .filter(name -> !name.equals(leader))
                .findFirst()
                .orElseThrow();
    }
}
