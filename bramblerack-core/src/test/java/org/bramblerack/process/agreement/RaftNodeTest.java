package org.bramblerack.process.agreement;

import static com.google.common.truth.Truth.assertThat;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableSortedSet;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.bramblerack.wire.RaftMessage;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Checks three voters while hosts are isolated, suspended or lagging. */
final class RaftNodeTest {
    private static final RaftTimings TIMINGS = new RaftTimings(Duration.ofMillis(50), Duration.ofMillis(200));
    private static final long TICK_NANOS = Duration.ofMillis(10).toNanos();
    private static final ByteString COMMAND = ByteString.copyFromUtf8("command");

    private final ImmutableSortedSet<String> names = ImmutableSortedSet.of("a", "b", "c");
    private final Map<String, RaftNode> nodes = new HashMap<>();
    private final Map<String, List<RaftAction>> performed = new HashMap<>();
    private final Set<String> isolated = new HashSet<>();
    private final Deque<RaftMessage> messages = new ArrayDeque<>();
    private long nowNanos;

    @BeforeEach
    void elect() {
        names.forEach(name -> {
            performed.put(name, new ArrayList<>());
            nodes.put(
                    name,
                    new RaftNode(name, names, 1, TIMINGS, StoredState.EMPTY, new SplittableRandom(name.hashCode()), 0));
        });
        run(100);
    }

    @Test
    void oneLeaderIsElectedAndCommits() {
        RaftNode leader = node(leader());
        assertThat(leader.propose(1, COMMAND)).isTrue();
        run(10);
        names.forEach(name -> assertThat(applied(name)).contains(COMMAND));
    }

    @Test
    void aRejoiningVoterDoesNotDisturbTheLeader() {
        String leader = leader();
        long term = node(leader).term();
        isolated.add(follower());
        run(500);
        isolated.clear();
        run(100);
        assertThat(node(leader).role()).isEqualTo(RaftRole.LEADER);
        names.forEach(name -> assertThat(node(name).term()).isEqualTo(term));
    }

    @Test
    void anIsolatedLeaderFailsRequestsAndStepsDown() {
        String old = leader();
        isolated.add(old);
        node(old).propose(7, COMMAND);
        node(old).read(8);
        run(100);
        assertThat(performed(old)).contains(new RaftAction.ProposalLost(7));
        assertThat(performed(old)).contains(new RaftAction.ReadFailed(8));
        assertThat(node(old).role()).isNotEqualTo(RaftRole.LEADER);
        assertThat(node(old).propose(9, COMMAND)).isFalse();
        assertThat(node(old).read(10)).isFalse();
        assertThat(leader()).isNotEqualTo(old);
    }

    /** The monotonic clock of a suspended host does not advance, so the host must not rely on it. */
    @Test
    void aResumedVoterIsNotUpToDateBeforeLeaderContact() {
        String old = leader();
        isolated.add(old);
        run(100);
        isolated.remove(old);
        String follower = follower();
        perform(follower, node(follower).onResume(nowNanos));
        assertThat(node(follower).isUpToDate(nowNanos)).isFalse();
        run(20);
        assertThat(node(follower).isUpToDate(nowNanos)).isTrue();
    }

    @Test
    void aResumedLeaderStepsDown() {
        String leader = leader();
        assertThat(node(leader).isUpToDate(nowNanos)).isTrue();
        perform(leader, node(leader).onResume(nowNanos));
        assertThat(node(leader).role()).isNotEqualTo(RaftRole.LEADER);
        assertThat(node(leader).isUpToDate(nowNanos)).isFalse();
        run(200);
        assertThat(node(leader()).isUpToDate(nowNanos)).isTrue();
    }

    @Test
    void aReadWaitsForAQuorumToConfirmTheLeader() {
        String leader = leader();
        node(leader).read(5);
        perform(leader, node(leader).flush(nowNanos));
        assertThat(performed(leader)).doesNotContain(new RaftAction.ReadReady(5));
        run(5);
        assertThat(performed(leader)).contains(new RaftAction.ReadReady(5));
    }

    @Test
    void aLaggingVoterCatchesUpFromASnapshotAndLaterEntries() {
        String lagging = follower();
        isolated.add(lagging);
        for (int number = 0; number < 50; number++) {
            node(leader()).propose(100 + number, COMMAND);
            run(2);
        }
        perform(leader(), node(leader()).compact(ByteString.copyFromUtf8("state")));
        isolated.clear();
        node(leader()).propose(200, ByteString.copyFromUtf8("after"));
        run(100);
        assertThat(performed(lagging)).contains(new RaftAction.RestoreSnapshot(ByteString.copyFromUtf8("state")));
        assertThat(applied(lagging)).contains(ByteString.copyFromUtf8("after"));
        assertThat(node(lagging).appliedIndex()).isEqualTo(node(leader()).appliedIndex());
    }

    @Test
    void messagesFromUnknownHostsOrToOthersAreIgnored() {
        RaftMessage stranger = RaftMessage.newBuilder()
                .setKind(RaftMessage.Kind.VOTE)
                .setFrom("stranger")
                .setTo("a")
                .setTerm(99)
                .build();
        assertThat(node("a").receive(stranger, nowNanos)).isEmpty();
        assertThat(node("a")
                        .receive(stranger.toBuilder().setFrom("b").setTo("c").build(), nowNanos))
                .isEmpty();
        assertThat(node("a").term()).isLessThan(99);
    }

    private void run(int ticks) {
        for (int tick = 0; tick < ticks; tick++) {
            nowNanos += TICK_NANOS;
            names.forEach(name -> {
                perform(name, node(name).tick(nowNanos));
                perform(name, node(name).flush(nowNanos));
            });
            while (!messages.isEmpty()) {
                RaftMessage message = messages.removeFirst();
                if (isolated.contains(message.getFrom()) == isolated.contains(message.getTo())) {
                    perform(message.getTo(), node(message.getTo()).receive(message, nowNanos));
                }
            }
        }
    }

    private void perform(String name, List<RaftAction> actions) {
        for (RaftAction action : actions) {
            performed(name).add(action);
            if (action instanceof RaftAction.Send send) {
                messages.addLast(send.message());
            }
        }
    }

    private List<ByteString> applied(String name) {
        return performed(name).stream()
                .filter(RaftAction.Apply.class::isInstance)
                .map(action -> ((RaftAction.Apply) action).entry().getCommand())
                .toList();
    }

    private String leader() {
        return names.stream()
                .filter(name -> !isolated.contains(name) && node(name).role() == RaftRole.LEADER)
                .findFirst()
                .orElseThrow();
    }

    private String follower() {
        return names.stream().filter(name -> !name.equals(leader())).findFirst().orElseThrow();
    }

    private RaftNode node(String name) {
        return requireNonNull(nodes.get(name));
    }

    private List<RaftAction> performed(String name) {
        return requireNonNull(performed.get(name));
    }
}
