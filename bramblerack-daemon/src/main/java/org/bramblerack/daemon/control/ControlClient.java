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
 * Finds the leader of the control hosts and sends it commands and reads.
 *
 * <p>A command is proposed again until it is decided or the time is up, and any of these proposals may be applied
 * later. So a command must carry an identifier, a version or a condition that keeps it from undoing a newer one. If no
 * leader was contacted within {@link #LEADER_CONTACT_TIMEOUT}, a command is rejected at once. Safe for use by many
 * threads.
 */
public final class ControlClient {
    /** How long commands are still tried after the last contact with a leader. */
    public static final Duration LEADER_CONTACT_TIMEOUT = Duration.ofMillis(1_500);

    private static final Duration RETRY_DELAY = Duration.ofMillis(40);
    private static final Duration MAX_ATTEMPT_TIMEOUT = Duration.ofMillis(800);

    private final String self;
    private final ImmutableList<String> initialVoters;
    private final Optional<ControlNode> localNode;
    private final PeerNetwork network;
    private final MonotonicClock clock;
    private final AtomicInteger nextVoterIndex = new AtomicInteger();
    private volatile Optional<String> leader = Optional.empty();
    private volatile long lastLeaderContactNanos;

    /**
     * Creates a client.
     *
     * @param voters the control hosts to contact until others are known
     * @param localNode the control role of this host, if it has one
     */
    public ControlClient(
            String self,
            ImmutableSortedSet<String> voters,
            Optional<ControlNode> localNode,
            PeerNetwork network,
            MonotonicClock clock) {
        this.self = self;
        this.initialVoters = voters.asList();
        this.localNode = localNode;
        this.network = network;
        this.clock = clock;
        this.lastLeaderContactNanos = clock.nowNanos();
    }

    /** Returns true if a leader was contacted recently. */
    public boolean hasLeaderContact() {
        return localLeader().isPresent()
                || clock.nowNanos() - lastLeaderContactNanos < LEADER_CONTACT_TIMEOUT.toNanos();
    }

    /** Proposes a command until it is decided or the time is up. */
    public Uni<ProposalResult> propose(Command command, Duration timeout) {
        if (!hasLeaderContact()) {
            return Uni.createFrom().item(new ProposalResult.Rejected("no leader is known"));
        }
        long deadlineNanos = clock.nowNanos() + timeout.toNanos();
        return proposeUntil(command, deadlineNanos, false);
    }

    /**
     * Reads the replicated state from the leader. The result is empty and not current if no leader confirmed it in
     * time.
     */
    public Uni<ControlReadResult> read(ControlRead request, Duration timeout) {
        long deadlineNanos = clock.nowNanos() + timeout.toNanos();
        return readUntil(request, deadlineNanos);
    }

    /** Requests changes of the configuration from the leader, or from any control host if no leader is known. */
    public Uni<ConfigurationDelta> pull(ConfigurationPull pull, Duration timeout) {
        String target = chooseTarget();
        Uni<ConfigurationDelta> reply = localNode.isPresent() && target.equals(self)
                ? localNode.get().pull(pull)
                : network.request(target, Envelope.newBuilder().setConfigurationPull(pull), timeout)
                        .map(Envelope::getConfigurationDelta);
        return reply.invoke(delta -> updateLeader(target, delta.getLeader(), delta.getConfirmed()))
                .onFailure()
                .invoke(() -> clearLeader(target));
    }

    private Uni<ProposalResult> proposeUntil(Command command, long deadlineNanos, boolean mayBeApplied) {
        long remainingNanos = deadlineNanos - clock.nowNanos();
        if (remainingNanos <= 0 || !hasLeaderContact()) {
            String reason = "no decision in time";
            return Uni.createFrom()
                    .item(mayBeApplied ? new ProposalResult.Undecided(reason) : new ProposalResult.Rejected(reason));
        }
        String target = chooseTarget();
        Duration attemptTimeout = Duration.ofNanos(Math.min(remainingNanos, MAX_ATTEMPT_TIMEOUT.toNanos()));
        return proposeTo(target, command, attemptTimeout).chain(result -> {
            if (result instanceof ProposalResult.Applied) {
                updateLeader(target, target, true);
                return Uni.createFrom().item(result);
            }
            boolean mayBeAppliedNow = mayBeApplied || result instanceof ProposalResult.Undecided;
            return Uni.createFrom()
                    .item(result)
                    .onItem()
                    .delayIt()
                    .by(RETRY_DELAY)
                    .chain(unused -> proposeUntil(command, deadlineNanos, mayBeAppliedNow));
        });
    }

    private Uni<ProposalResult> proposeTo(String target, Command command, Duration attemptTimeout) {
        if (localNode.isPresent() && target.equals(self)) {
            ControlNode node = localNode.get();
            return node.propose(command).invoke(result -> {
                if (result instanceof ProposalResult.Rejected) {
                    updateLeader(target, node.leader().orElse(""), false);
                }
            });
        }
        Envelope.Builder message =
                Envelope.newBuilder().setPropose(Propose.newBuilder().setCommand(command.toByteString()));
        return network.request(target, message, attemptTimeout)
                .map(reply -> toResult(target, reply.getProposeResult()))
                .onFailure()
                .recoverWithItem(failure -> {
                    clearLeader(target);
                    boolean notSent = failure instanceof PeerFailure peerFailure
                            && peerFailure.kind() == PeerFailure.Kind.NOT_SENT;
                    return notSent
                            ? new ProposalResult.Rejected(String.valueOf(failure.getMessage()))
                            : new ProposalResult.Undecided(String.valueOf(failure.getMessage()));
                });
    }

    private ProposalResult toResult(String target, ProposeResult reply) {
        return switch (reply.getStatus()) {
            case APPLIED -> parseApplied(reply);
            case LOST -> new ProposalResult.Undecided("the leader changed");
            default -> {
                updateLeader(target, reply.getLeader(), false);
                yield new ProposalResult.Rejected("not the leader, or it takes no commands now");
            }
        };
    }

    private static ProposalResult parseApplied(ProposeResult reply) {
        try {
            return new ProposalResult.Applied(CommandResult.parseFrom(reply.getResult()));
        } catch (InvalidProtocolBufferException malformed) {
            return new ProposalResult.Undecided("the leader's reply could not be read");
        }
    }

    private Uni<ControlReadResult> readUntil(ControlRead request, long deadlineNanos) {
        long remainingNanos = deadlineNanos - clock.nowNanos();
        if (remainingNanos <= 0) {
            return Uni.createFrom().item(ControlReadResult.getDefaultInstance());
        }
        String target = chooseTarget();
        Duration attemptTimeout = Duration.ofNanos(Math.min(remainingNanos, MAX_ATTEMPT_TIMEOUT.toNanos()));
        Uni<ControlReadResult> reply = localNode.isPresent() && target.equals(self)
                ? localNode.get().read(request)
                : network.request(target, Envelope.newBuilder().setControlRead(request), attemptTimeout)
                        .map(Envelope::getControlReadResult);
        return reply.onFailure()
                .recoverWithItem(failure -> {
                    clearLeader(target);
                    return ControlReadResult.getDefaultInstance();
                })
                .chain(result -> {
                    updateLeader(target, result.getLeader(), result.getCurrent());
                    if (result.getCurrent()) {
                        return Uni.createFrom().item(result);
                    }
                    return Uni.createFrom()
                            .item(result)
                            .onItem()
                            .delayIt()
                            .by(RETRY_DELAY)
                            .chain(unused -> readUntil(request, deadlineNanos));
                });
    }

    /** Returns the leader that the local role knows, which learns of a change earlier than this client. */
    private Optional<String> localLeader() {
        return localNode.flatMap(ControlNode::leader);
    }

    private String chooseTarget() {
        return localLeader().or(() -> leader).orElseGet(this::nextVoter);
    }

    private String nextVoter() {
        ImmutableList<String> voters = voters();
        return voters.get(Math.floorMod(nextVoterIndex.getAndIncrement(), voters.size()));
    }

    /** Returns the voters that the local role knows, or the initial ones. */
    private ImmutableList<String> voters() {
        return localNode
                .map(ControlNode::voters)
                .filter(known -> !known.isEmpty())
                .map(ImmutableSortedSet::asList)
                .orElse(initialVoters);
    }

    private void updateLeader(String target, String leaderHint, boolean confirmed) {
        if (confirmed) {
            leader = Optional.of(target);
            lastLeaderContactNanos = clock.nowNanos();
        } else if (!leaderHint.isEmpty() && !leaderHint.equals(target) && voters().contains(leaderHint)) {
            leader = Optional.of(leaderHint);
        } else {
            leader = Optional.empty();
        }
    }

    private void clearLeader(String target) {
        if (leader.equals(Optional.of(target))) {
            leader = Optional.empty();
        }
    }
}
