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
 * Voters, disks, clocks and a network, moved step by step by numbers, and checked after every step.
 *
 * <p>Every number is one step: deliver, lose, double or hold back a message, let one clock run, crash between any two
 * actions, restart, cut, heal, propose, read, compact. The checks: one leader in a term; every voter applies the same
 * commands in the same order; what was answered as agreed is never lost; a read shows everything answered before it was
 * asked for; a once-only request is granted to one attempt.
 *
 * <p>If disks may be lost, one is at a time: a host comes back with an empty disk, and no other loses its own before
 * the first is a voter again. All other troubles go on meanwhile.
 */
final class AgreementWorld {
    private static final RaftTimings TIMINGS = new RaftTimings(Duration.ofMillis(50), Duration.ofMillis(200));
    private static final long TICK_NANOS = Duration.ofMillis(20).toNanos();
    /** How many kinds of steps there are; a step is a kind plus this many times a choice. */
    static final int KINDS = 64;

    private static final int MAX_MESSAGES = 60;
    private static final int REORDERED = 8;
    private static final int CRASH_SPARSENESS = 40;

    private final ImmutableSortedSet<String> firstNames;
    private final List<String> names;
    private final Map<String, Voter> voters = new TreeMap<>();
    private final List<RaftMessage> network = new ArrayList<>();
    private final Set<String> cut = new HashSet<>();
    private final Map<Long, String> leaderOfTerm = new HashMap<>();
    private final List<LogEntry> agreed = new ArrayList<>();
    private final Set<Long> answered = new HashSet<>();
    private final Map<String, String> grantedAttempt = new HashMap<>();
    private final Faults faults;
    private long nextToken = 1;
    private int wipes;

    /** What goes wrong beyond crashes, cuts and lost messages, and what is broken on purpose. */
    enum Faults {
        /** Nothing more. */
        NONE,
        /** Broken on purpose: nothing is synced. */
        SYNCS_SKIPPED,
        /** Disks are lost, one at a time. */
        DISKS_LOST,
        /** Broken on purpose: a host that lost its disk votes on under its old name. */
        DISKS_LOST_AND_NAMES_KEPT
    }

    AgreementWorld(int size, Faults faults) {
        ImmutableSortedSet.Builder<String> builder = ImmutableSortedSet.naturalOrder();
        for (int number = 0; number < size; number++) {
            builder.add("v" + number);
        }
        this.firstNames = builder.build();
        this.names = new ArrayList<>(firstNames);
        this.faults = faults;
        for (String name : names) {
            voters.put(name, new Voter(name, firstNames));
        }
    }

    /** Makes one step; the number decides which. */
    void step(int number) {
        int kind = number % KINDS;
        int choice = number / KINDS;
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
            voter.crashAfterActions = choice % CRASH_SPARSENESS < 4 ? choice % CRASH_SPARSENESS : -1;
        } else if (kind < 52) {
            voter.restart();
        } else if (kind < 59) {
            voters.values().forEach(each -> each.run(() -> each.propose(choice)));
        } else if (kind == 59) {
            voter.run(voter::read);
        } else if (kind == 60) {
            voter.run(voter::compact);
        } else if (kind == 61) {
            cut.add(voter.name);
        } else if (kind == 62 && faults.name().startsWith("DISKS_LOST")) {
            wipe(choice % names.size());
        } else {
            cut.clear();
        }
    }

    int wipeCount() {
        return wipes;
    }

    /** Loses the disk of a host, unless another that lost its own is not a voter again. */
    private void wipe(int position) {
        if (!agreedVoters().equals(ImmutableSortedSet.copyOf(names))) {
            return;
        }
        wipes++;
        String old = names.get(position);
        boolean keepsName = faults == Faults.DISKS_LOST_AND_NAMES_KEPT;
        String name = keepsName ? old : "v" + position + VoterName.TAG + wipes;
        voters.remove(old);
        cut.remove(old);
        names.set(position, name);
        voters.put(name, new Voter(name, keepsName ? firstNames : ImmutableSortedSet.of()));
    }

    private ImmutableSortedSet<String> agreedVoters() {
        for (int position = agreed.size() - 1; position >= 0; position--) {
            if (agreed.get(position).getVotersCount() > 0) {
                return ImmutableSortedSet.copyOf(agreed.get(position).getVotersList());
            }
        }
        return firstNames;
    }

    /** Heals everything and checks that the voters come to agree on all that was answered. */
    void settle() {
        cut.clear();
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
        assertWithMessage("leaders once healed").that(leaders).isEqualTo(1);
        voters.values()
                .forEach(voter -> assertWithMessage("applied by " + voter.name)
                        .that(voter.node.appliedIndex())
                        .isAtLeast((long) agreed.size()));
        Set<Long> present = new HashSet<>();
        agreed.forEach(entry -> present.add(TestCommand.tokenOf(entry)));
        assertWithMessage("answered and lost").that(present).containsAtLeastElementsIn(answered);
        assertWithMessage("states differ")
                .that(voters.values().stream()
                        .map(voter -> voter.state.toSnapshot())
                        .distinct()
                        .count())
                .isEqualTo(1);
    }

    int agreedCount() {
        return agreed.size();
    }

    private void deliver(int choice, boolean lose, boolean keep) {
        if (network.isEmpty()) {
            return;
        }
        int position = choice % Math.min(REORDERED, network.size());
        RaftMessage message = keep ? network.get(position) : network.remove(position);
        boolean severed = cut.contains(message.getFrom()) != cut.contains(message.getTo());
        Voter target = voters.get(message.getTo());
        if (!lose && !severed && target != null && target.alive) {
            target.run(() -> target.perform(target.node.receive(message, target.nowNanos)));
        }
    }

    private Voter voter(String name) {
        return requireNonNull(voters.get(name));
    }

    /** Thrown inside a voter to stop it between two of its actions. */
    private static final class Crash extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    private final class Voter {
        private final String name;
        private final ImmutableSortedSet<String> firstVoters;
        private final FakeDisk disk = new FakeDisk(faults == Faults.SYNCS_SKIPPED);
        private final Map<Long, Integer> readsAsked = new HashMap<>();
        private boolean alive = true;
        private long nowNanos;
        private int crashAfterActions = -1;
        private RaftNode node;
        private ControlState state;

        Voter(String name, ImmutableSortedSet<String> firstVoters) {
            this.name = name;
            this.firstVoters = firstVoters;
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
                askToJoin();
            }
            perform(node.tick(nowNanos));
        }

        private void askToJoin() {
            for (Voter other : voters.values()) {
                boolean severed = cut.contains(name) != cut.contains(other.name);
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
            readsAsked.clear();
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
                readsAsked.put(token, answered.size());
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
            if (position < agreed.size()) {
                assertWithMessage("entry " + entry.getIndex() + " at " + name)
                        .that(entry)
                        .isEqualTo(agreed.get(position));
            } else {
                assertWithMessage("gap at " + name).that(position).isEqualTo(agreed.size());
                agreed.add(entry);
            }
            if (entry.getCommand().isEmpty()) {
                return;
            }
            CommandResult result = applyCommand(entry);
            if (result.getKind() == CommandResult.Kind.CLAIMED) {
                String request = result.getClaim().getRequestId();
                String first =
                        grantedAttempt.putIfAbsent(request, result.getClaim().getAttempt());
                assertWithMessage("attempts granted " + request)
                        .that(first == null || first.equals(result.getClaim().getAttempt()))
                        .isTrue();
            }
            apply.token().ifPresent(answered::add);
        }

        private CommandResult applyCommand(LogEntry entry) {
            try {
                return state.apply(Command.parseFrom(entry.getCommand()));
            } catch (InvalidProtocolBufferException impossible) {
                throw new AssertionError(impossible);
            }
        }

        private void checkRead(long token) {
            Integer before = readsAsked.remove(token);
            if (before != null) {
                long commands = agreed.subList(0, (int) node.appliedIndex()).stream()
                        .filter(entry -> answered.contains(TestCommand.tokenOf(entry)))
                        .count();
                assertWithMessage("answers missing from a read").that(commands).isAtLeast((long) before);
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
            return new RaftNode(name, firstVoters, 1, TIMINGS, stored, new SplittableRandom(name.hashCode()), nowNanos);
        }
    }
}
