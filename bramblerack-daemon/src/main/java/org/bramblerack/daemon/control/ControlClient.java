package org.bramblerack.daemon.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import com.google.protobuf.InvalidProtocolBufferException;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.bramblerack.daemon.peer.PeerFailure;
import org.bramblerack.daemon.peer.PeerNetwork;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.wire.Command;
import org.bramblerack.wire.CommandResult;
import org.bramblerack.wire.ConfigurationDelta;
import org.bramblerack.wire.ConfigurationPull;
import org.bramblerack.wire.ControlRead;
import org.bramblerack.wire.ControlReadResult;
import org.bramblerack.wire.Envelope;
import org.bramblerack.wire.Propose;
import org.bramblerack.wire.ProposeResult;

/**
 * How any host reaches the control hosts: it finds the leader and offers it commands and reads.
 *
 * <p>A command is offered again until it is decided or the time is up; that is safe, because commands carry
 * identifiers. If no leader was heard of for {@link #LEADERLESS} a command is refused at once. Safe for use by many
 * threads.
 */
public final class ControlClient {
    /** How long after a leader was last heard of commands are still tried. */
    public static final Duration LEADERLESS = Duration.ofMillis(1_500);

    private static final Duration AGAIN = Duration.ofMillis(40);
    private static final Duration LONGEST_TRY = Duration.ofMillis(800);

    private final String self;
    private final ImmutableList<String> firstVoters;
    private final Optional<ControlNode> local;
    private final PeerNetwork network;
    private final MonotonicClock clock;
    private final AtomicInteger turn = new AtomicInteger();
    private volatile Optional<String> leader = Optional.empty();
    private volatile long leaderHeardNanos;

    /** Creates a client; the local role is given if this host has it. */
    public ControlClient(
            String self,
            ImmutableSortedSet<String> voters,
            Optional<ControlNode> local,
            PeerNetwork network,
            MonotonicClock clock) {
        this.self = self;
        this.firstVoters = voters.asList();
        this.local = local;
        this.network = network;
        this.clock = clock;
        this.leaderHeardNanos = clock.nowNanos();
    }

    /** Returns true if a leader was heard of lately. */
    public boolean hearsLeader() {
        return localLeader().isPresent() || clock.nowNanos() - leaderHeardNanos < LEADERLESS.toNanos();
    }

    /** Offers a command until it is decided or the time is up. */
    public Uni<ProposalResult> propose(Command command, Duration timeout) {
        if (!hearsLeader()) {
            return Uni.createFrom().item(new ProposalResult.NotTaken("no leader is known"));
        }
        long giveUpNanos = clock.nowNanos() + timeout.toNanos();
        return offer(command, giveUpNanos, false);
    }

    /** Reads the agreed state from the leader; a result that is not current tells nothing but a hint of the leader. */
    public Uni<ControlReadResult> read(ControlRead request, Duration timeout) {
        long giveUpNanos = clock.nowNanos() + timeout.toNanos();
        return readOnce(request, giveUpNanos);
    }

    /** Asks a control host, the leader if it is known, for changes of the configuration. */
    public Uni<ConfigurationDelta> pull(ConfigurationPull pull, Duration timeout) {
        String target = target();
        Uni<ConfigurationDelta> reply = local.isPresent() && target.equals(self)
                ? local.get().pull(pull)
                : network.request(target, Envelope.newBuilder().setConfigurationPull(pull), timeout)
                        .map(Envelope::getConfigurationDelta);
        return reply.invoke(delta -> learn(target, delta.getLeader(), delta.getConfirmed()))
                .onFailure()
                .invoke(() -> forget(target));
    }

    private Uni<ProposalResult> offer(Command command, long giveUpNanos, boolean mayBeTaken) {
        long leftNanos = giveUpNanos - clock.nowNanos();
        if (leftNanos <= 0 || !hearsLeader()) {
            String reason = "no decision in time";
            return Uni.createFrom()
                    .item(mayBeTaken ? new ProposalResult.Undecided(reason) : new ProposalResult.NotTaken(reason));
        }
        String target = target();
        Duration wait = Duration.ofNanos(Math.min(leftNanos, LONGEST_TRY.toNanos()));
        return offerTo(target, command, wait).chain(result -> {
            if (result instanceof ProposalResult.Applied) {
                learn(target, target, true);
                return Uni.createFrom().item(result);
            }
            boolean taken = mayBeTaken || result instanceof ProposalResult.Undecided;
            return Uni.createFrom()
                    .item(result)
                    .onItem()
                    .delayIt()
                    .by(AGAIN)
                    .chain(unused -> offer(command, giveUpNanos, taken));
        });
    }

    private Uni<ProposalResult> offerTo(String target, Command command, Duration wait) {
        if (local.isPresent() && target.equals(self)) {
            ControlNode node = local.get();
            return node.propose(command).invoke(result -> {
                if (result instanceof ProposalResult.NotTaken) {
                    learn(target, node.leader().orElse(""), false);
                }
            });
        }
        Envelope.Builder message =
                Envelope.newBuilder().setPropose(Propose.newBuilder().setCommand(command.toByteString()));
        return network.request(target, message, wait)
                .map(reply -> toResult(target, reply.getProposeResult()))
                .onFailure()
                .recoverWithItem(failure -> {
                    forget(target);
                    boolean notSent = failure instanceof PeerFailure peerFailure
                            && peerFailure.kind() == PeerFailure.Kind.NOT_SENT;
                    return notSent
                            ? new ProposalResult.NotTaken(String.valueOf(failure.getMessage()))
                            : new ProposalResult.Undecided(String.valueOf(failure.getMessage()));
                });
    }

    private ProposalResult toResult(String target, ProposeResult reply) {
        return switch (reply.getStatus()) {
            case APPLIED -> parse(reply);
            case LOST -> new ProposalResult.Undecided("the leader changed");
            default -> {
                learn(target, reply.getLeader(), false);
                yield new ProposalResult.NotTaken("not the leader, or it takes no commands now");
            }
        };
    }

    private static ProposalResult parse(ProposeResult reply) {
        try {
            return new ProposalResult.Applied(CommandResult.parseFrom(reply.getResult()));
        } catch (InvalidProtocolBufferException malformed) {
            return new ProposalResult.Undecided("the leader's reply could not be read");
        }
    }

    private Uni<ControlReadResult> readOnce(ControlRead request, long giveUpNanos) {
        long leftNanos = giveUpNanos - clock.nowNanos();
        if (leftNanos <= 0) {
            return Uni.createFrom().item(ControlReadResult.getDefaultInstance());
        }
        String target = target();
        Duration wait = Duration.ofNanos(Math.min(leftNanos, LONGEST_TRY.toNanos()));
        Uni<ControlReadResult> reply = local.isPresent() && target.equals(self)
                ? local.get().read(request)
                : network.request(target, Envelope.newBuilder().setControlRead(request), wait)
                        .map(Envelope::getControlReadResult);
        return reply.onFailure()
                .recoverWithItem(failure -> {
                    forget(target);
                    return ControlReadResult.getDefaultInstance();
                })
                .chain(result -> {
                    learn(target, result.getLeader(), result.getCurrent());
                    if (result.getCurrent()) {
                        return Uni.createFrom().item(result);
                    }
                    return Uni.createFrom()
                            .item(result)
                            .onItem()
                            .delayIt()
                            .by(AGAIN)
                            .chain(unused -> readOnce(request, giveUpNanos));
                });
    }

    /** Returns the leader that the local role knows of; it hears sooner of a change than a client does. */
    private Optional<String> localLeader() {
        return local.flatMap(ControlNode::leader);
    }

    private String target() {
        return localLeader().or(() -> leader).orElseGet(this::anyVoter);
    }

    private String anyVoter() {
        ImmutableList<String> voters = voters();
        return voters.get(Math.floorMod(turn.getAndIncrement(), voters.size()));
    }

    /** Returns the voters as the local role knows them, or those that the system began with. */
    private ImmutableList<String> voters() {
        return local.map(ControlNode::voters)
                .filter(known -> !known.isEmpty())
                .map(ImmutableSortedSet::asList)
                .orElse(firstVoters);
    }

    private void learn(String target, String hint, boolean confirmed) {
        if (confirmed) {
            leader = Optional.of(target);
            leaderHeardNanos = clock.nowNanos();
        } else if (!hint.isEmpty() && !hint.equals(target) && voters().contains(hint)) {
            leader = Optional.of(hint);
        } else {
            leader = Optional.empty();
        }
    }

    private void forget(String target) {
        if (leader.equals(Optional.of(target))) {
            leader = Optional.empty();
        }
    }
}
