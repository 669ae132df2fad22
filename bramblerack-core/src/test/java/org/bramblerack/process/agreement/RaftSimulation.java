package org.bramblerack.process.agreement;

import static com.google.common.truth.Truth.assertWithMessage;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableSortedSet;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.bramblerack.wire.Command;
import org.bramblerack.wire.CommandResult;
import org.bramblerack.wire.ControlSnapshot;
import org.bramblerack.wire.LogEntry;
import org.bramblerack.wire.RaftMessage;

/**
 * A simulated cluster with voters, disks, clocks and a network, driven by a schedule of numbers.
 *
 * <p>Each number is one step: deliver, lose, duplicate or reorder a message, advance one clock, crash between any two
 * actions, restart, isolate, heal, propose, read, compact. The checks: one leader in a term; all voters apply the same
 * commands in the same order; an acknowledged command is never lost; a read reflects all commands acknowledged before
 * it started; a once-only request is granted to one attempt.
 *
 * <p>If disks may be lost, only one is at a time: a host restarts with an empty disk, and no other disk is lost until
 * that host is a voter again. All other faults continue meanwhile.
 */
final class RaftSimulation {
    private static final RaftTimings TIMINGS = new RaftTimings(Duration.ofMillis(50), Duration.ofMillis(200));
    private static final long TICK_NANOS = Duration.ofMillis(20).toNanos();
    /** A step's number is its kind plus this constant times its choice. */
    static final int STEP_KINDS = 64;

    private static final int MAX_MESSAGES = 60;
    private static final int REORDER_WINDOW = 8;
    private static final int CRASH_CHOICES = 40;

    private final ImmutableSortedSet<String> initialVoters;
    private final List<String> names;
    private final Map<String, Voter> voters = new TreeMap<>();
    private final List<RaftMessage> network = new ArrayList<>();
    private final Set<String> isolated = new HashSet<>();
    private final Map<Long, String> leaderOfTerm = new HashMap<>();
    private final List<LogEntry> committed = new ArrayList<>();
    private final Set<Long> acknowledgedTokens = new HashSet<>();
    private final Map<String, String> grantedAttempt = new HashMap<>();
    private final Faults faults;
    private long nextToken = 1;
    private int diskLosses;

    /** Faults in addition to crashes, isolated hosts and lost messages. */
    enum Faults {
        /** No additional faults. */
        NONE,
        /** Violates Raft's assumptions: disks ignore syncs. */
        SYNCS_SKIPPED,
        /** Hosts lose their disks, one at a time, and rejoin under new names. */
        DISKS_LOST,
        /** Violates Raft's assumptions: a host that lost its disk keeps voting under its old name. */
        DISKS_LOST_AND_NAMES_KEPT
    }

    RaftSimulation(int size, Faults faults) {
        ImmutableSortedSet.Builder<String> builder = ImmutableSortedSet.naturalOrder();
        for (int number = 0; number < size; number++) {
            builder.add("v" + number);
        }
        this.initialVoters = builder.build();
        this.names = new ArrayList<>(initialVoters);
        this.faults = faults;
        for (String name : names) {
            voters.put(name, new Voter(name, initialVoters));
        }
    }

    /** Runs the step that the number encodes. */
    void step(int number) {
        int kind = number % STEP_KINDS;
        int choice = number / STEP_KINDS;
        Voter voter = voter(names.get(choice % names.size()));
        if (kind < 38) {
            deliver(choice, false, false);
        } else if (kind == 38) {
            deliver(choice, true, false);
        } else if (kind == 39) {
            deliver(choice, false, true);
        } else if (kind < 47) {
            voter.run(voter::tick);
        } else if (kind == 47) {
            voter.crashAfterActions = choice % CRASH_CHOICES < 4 ? choice % CRASH_CHOICES : -1;
        } else if (kind < 52) {
            voter.restart();
        } else if (kind < 59) {
            voters.values().forEach(each -> each.run(() -> each.propose(choice)));
        } else if (kind == 59) {
            voter.run(voter::read);
        } else if (kind == 60) {
            voter.run(voter::compact);
        } else if (kind == 61) {
            isolated.add(voter.name);
        } else if (kind == 62 && faults.name().startsWith("DISKS_LOST")) {
            loseDisk(choice % names.size());
        } else {
            isolated.clear();
        }
    }

    int diskLossCount() {
        return diskLosses;
    }

    /** Replaces a host's disk by an empty one, unless an earlier such host is not a voter yet. */
    private void loseDisk(int position) {
        if (!committedVoters().equals(ImmutableSortedSet.copyOf(names))) {
            return;
        }
        diskLosses++;
        String old = names.get(position);
        boolean keepsName = faults == Faults.DISKS_LOST_AND_NAMES_KEPT;
        String name = keepsName ? old : "v" + position + VoterName.TAG_SEPARATOR + diskLosses;
        voters.remove(old);
        isolated.remove(old);
        names.set(position, name);
        voters.put(name, new Voter(name, keepsName ? initialVoters : ImmutableSortedSet.of()));
    }

    private ImmutableSortedSet<String> committedVoters() {
        for (int position = committed.size() - 1; position >= 0; position--) {
            if (committed.get(position).getVotersCount() > 0) {
                return ImmutableSortedSet.copyOf(committed.get(position).getVotersList());
            }
        }
        return initialVoters;
    }

    /** Heals all faults and checks that the voters converge and that no acknowledged command is lost. */
    void settle() {
        isolated.clear();
        voters.values().forEach(voter -> {
            voter.crashAfterActions = -1;
            voter.restart();
        });
        for (int round = 0; round < 400; round++) {
            voters.values().forEach(voter -> voter.run(voter::tick));
            while (!network.isEmpty()) {
                deliver(0, false, false);
            }
        }
        long leaders = voters.values().stream()
                .filter(voter -> voter.node.role() == RaftRole.LEADER)
                .count();
        assertWithMessage("leaders after healing").that(leaders).isEqualTo(1);
        voters.values()
                .forEach(voter -> assertWithMessage("applied by " + voter.name)
                        .that(voter.node.appliedIndex())
                        .isAtLeast((long) committed.size()));
        Set<Long> present = new HashSet<>();
        committed.forEach(entry -> present.add(TestCommand.tokenOf(entry)));
        assertWithMessage("acknowledged commands").that(present).containsAtLeastElementsIn(acknowledgedTokens);
        assertWithMessage("distinct states")
                .that(voters.values().stream()
                        .map(voter -> voter.state.toSnapshot())
                        .distinct()
                        .count())
                .isEqualTo(1);
    }

    int committedCount() {
        return committed.size();
    }

    private void deliver(int choice, boolean lose, boolean keep) {
        if (network.isEmpty()) {
            return;
        }
        int position = choice % Math.min(REORDER_WINDOW, network.size());
        RaftMessage message = keep ? network.get(position) : network.remove(position);
        boolean severed = isolated.contains(message.getFrom()) != isolated.contains(message.getTo());
        Voter target = voters.get(message.getTo());
        if (!lose && !severed && target != null && target.alive) {
            target.run(() -> target.perform(target.node.receive(message, target.nowNanos)));
        }
    }

    private Voter voter(String name) {
        return requireNonNull(voters.get(name));
    }

    /** Thrown to crash a voter between two of its actions. */
    private static final class Crash extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    private final class Voter {
        private final String name;
        private final ImmutableSortedSet<String> initialVoters;
        private final FakeDisk disk = new FakeDisk(faults == Faults.SYNCS_SKIPPED);
        private final Map<Long, Integer> pendingReads = new HashMap<>();
        private boolean alive = true;
        private long nowNanos;
        private int crashAfterActions = -1;
        private RaftNode node;
        private ControlState state;

        Voter(String name, ImmutableSortedSet<String> initialVoters) {
            this.name = name;
            this.initialVoters = initialVoters;
            this.node = newNode(StoredState.EMPTY);
            this.state = new ControlState();
        }

        void run(Runnable task) {
            if (!alive) {
                return;
            }
            try {
                task.run();
                perform(node.flush(nowNanos));
            } catch (Crash crash) {
                crash();
            }
        }

        void tick() {
            nowNanos += TICK_NANOS;
            if (!node.isUpToDate(nowNanos)) {
                requestToJoin();
            }
            perform(node.tick(nowNanos));
        }

        private void requestToJoin() {
            for (Voter other : voters.values()) {
                boolean severed = isolated.contains(name) != isolated.contains(other.name);
                if (other != this && other.alive && !severed) {
                    other.node.addLearner(name, other.nowNanos);
                }
            }
        }

        void crash() {
            alive = false;
            crashAfterActions = -1;
        }

        void restart() {
            if (alive) {
                return;
            }
            StoredState stored = disk.crash();
            pendingReads.clear();
            state = new ControlState();
            restore(stored.snapshot());
            node = newNode(stored);
            alive = true;
        }

        void propose(int choice) {
            long token = nextToken++;
            node.propose(token, TestCommand.of(choice, token, state.revision()).toByteString());
        }

        void read() {
            long token = nextToken++;
            if (node.read(token)) {
                pendingReads.put(token, acknowledgedTokens.size());
            }
        }

        void compact() {
            perform(node.compact(state.toSnapshot()));
        }

        void perform(List<RaftAction> actions) {
            for (RaftAction action : actions) {
                if (crashAfterActions == 0) {
                    throw new Crash();
                }
                crashAfterActions = Math.max(-1, crashAfterActions - 1);
                perform(action);
            }
        }

        private void perform(RaftAction action) {
            if (action instanceof RaftAction.Persist persist) {
                disk.write(persist);
                disk.sync();
            } else if (action instanceof RaftAction.SaveSnapshot save) {
                disk.write(save);
                disk.sync();
            } else if (action instanceof RaftAction.RestoreSnapshot restored) {
                restore(restored.state());
            } else if (action instanceof RaftAction.Send send) {
                if (network.size() < MAX_MESSAGES) {
                    network.add(send.message());
                }
            } else if (action instanceof RaftAction.Apply apply) {
                apply(apply);
            } else if (action instanceof RaftAction.ReadReady ready) {
                checkRead(ready.token());
            } else if (action instanceof RaftAction.RoleChanged changed && changed.role() == RaftRole.LEADER) {
                String other = leaderOfTerm.putIfAbsent(changed.term(), name);
                assertWithMessage("leaders of term " + changed.term())
                        .that(other == null || other.equals(name))
                        .isTrue();
            }
        }

        private void apply(RaftAction.Apply apply) {
            LogEntry entry = apply.entry();
            int position = (int) entry.getIndex() - 1;
            if (position < committed.size()) {
                assertWithMessage("entry " + entry.getIndex() + " at " + name)
                        .that(entry)
                        .isEqualTo(committed.get(position));
            } else {
                assertWithMessage("next index at " + name).that(position).isEqualTo(committed.size());
                committed.add(entry);
            }
            if (entry.getCommand().isEmpty()) {
                return;
            }
            CommandResult result = applyCommand(entry);
            if (result.getKind() == CommandResult.Kind.CLAIMED) {
                String request = result.getClaim().getRequestId();
                String first =
                        grantedAttempt.putIfAbsent(request, result.getClaim().getAttempt());
                assertWithMessage("only one attempt granted for " + request)
                        .that(first == null || first.equals(result.getClaim().getAttempt()))
                        .isTrue();
            }
            apply.token().ifPresent(acknowledgedTokens::add);
        }

        private CommandResult applyCommand(LogEntry entry) {
            try {
                return state.apply(Command.parseFrom(entry.getCommand()));
            } catch (InvalidProtocolBufferException impossible) {
                throw new AssertionError(impossible);
            }
        }

        private void checkRead(long token) {
            Integer before = pendingReads.remove(token);
            if (before != null) {
                long commands = committed.subList(0, (int) node.appliedIndex()).stream()
                        .filter(entry -> acknowledgedTokens.contains(TestCommand.tokenOf(entry)))
                        .count();
                assertWithMessage("acknowledged commands visible to a read")
                        .that(commands)
                        .isAtLeast((long) before);
            }
        }

        private void restore(ByteString snapshot) {
            if (!snapshot.isEmpty()) {
                try {
                    state.restore(ControlSnapshot.parseFrom(snapshot));
                } catch (InvalidProtocolBufferException impossible) {
                    throw new AssertionError(impossible);
                }
            }
        }

        private RaftNode newNode(StoredState stored) {
            return new RaftNode(
                    name, initialVoters, 1, TIMINGS, stored, new SplittableRandom(name.hashCode()), nowNanos);
        }
    }
}
