package org.bramblerack.daemon.host;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.bramblerack.daemon.control.ControlNode;
import org.bramblerack.daemon.control.ProposalResult;
import org.bramblerack.daemon.holder.HolderService;
import org.bramblerack.daemon.holder.LeafCodec;
import org.bramblerack.daemon.peer.PeerHandler;
import org.bramblerack.daemon.peer.PendingReplies;
import org.bramblerack.daemon.peer.Workers;
import org.bramblerack.process.MembershipTable;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.StopAdmission;
import org.bramblerack.request.LeafFailure;
import org.bramblerack.request.LeafOutcome;
import org.bramblerack.request.LeafRequest;
import org.bramblerack.version.ServiceName;
import org.bramblerack.version.UpstreamName;
import org.bramblerack.wire.Command;
import org.bramblerack.wire.ConfigurationPull;
import org.bramblerack.wire.ControlReadResult;
import org.bramblerack.wire.Envelope;
import org.bramblerack.wire.LeafCall;
import org.bramblerack.wire.LeafCancel;
import org.bramblerack.wire.ProposeResult;

/**
 * Dispatches each message of another host to the component that handles it.
 *
 * <p>Safe for use by many threads.
 */
final class PeerRouter implements PeerHandler {
    private final Workers workers;
    private final MonotonicClock clock;
    private final HolderService holders;
    private final Heartbeats heartbeats;
    private final MembershipTable membership;
    private final Optional<ControlNode> control;
    private final ConfigurationFollower follower;
    private final PendingReplies pendingReplies = new PendingReplies();
    private final StopAdmission stopAdmission;
    private volatile boolean refusingCalls;

    PeerRouter(
            Workers workers,
            MonotonicClock clock,
            HolderService holders,
            Heartbeats heartbeats,
            MembershipTable membership,
            Optional<ControlNode> control,
            ConfigurationFollower follower,
            StopAdmission stopAdmission) {
        this.workers = workers;
        this.clock = clock;
        this.holders = holders;
        this.heartbeats = heartbeats;
        this.membership = membership;
        this.control = control;
        this.follower = follower;
        this.stopAdmission = stopAdmission;
    }

    /** Refuses new calls to upstreams as not run; calls in progress are finished. */
    void refuseCalls() {
        refusingCalls = true;
    }

    /** Replies to the calls and proposals in flight, of which it is not known whether they have run. */
    void endCalls() {
        pendingReplies.endAll();
    }

    /** Returns the number of calls and proposals whose replies have not been passed to the connection. */
    int inFlight() {
        return pendingReplies.count();
    }

    @Override
    public void handle(Envelope message, Consumer<Envelope.Builder> reply) {
        switch (message.getBodyCase()) {
            case LEAF_CALL -> handleLeafCall(message.getLeafCall(), reply);
            case LEAF_CANCEL -> workers.run(() -> handleLeafCancel(message.getLeafCancel()));
            case HEARTBEAT -> workers.run(() -> heartbeats.receive(message.getHeartbeat()));
            case RAFT -> control.ifPresent(node -> node.receive(message.getRaft()));
            case PROPOSE ->
                handlePropose(message.getPropose().getCommand(), pendingReplies.track(reply, PeerRouter::undecided));
            case CONTROL_READ -> handleControlRead(message, reply);
            case CONFIGURATION_PULL -> handleConfigurationPull(message.getConfigurationPull(), reply);
            default -> {
                // An unknown message type, as from a newer program version: left unanswered.
            }
        }
    }

    private void handleLeafCall(LeafCall call, Consumer<Envelope.Builder> reply) {
        LeafRequest request = LeafCodec.toRequest(call, clock.nowNanos());
        String kind = "call " + request.upstream().service();
        if (refusingCalls || !stopAdmission.mayAccept(kind, Duration.ZERO, request.deadlineNanos())) {
            reply.accept(toMessage(new LeafOutcome.Failed(LeafFailure.HOLDER_UNREACHABLE)));
            return;
        }
        Consumer<Envelope.Builder> tracked =
                pendingReplies.track(reply, () -> toMessage(new LeafOutcome.Failed(LeafFailure.HOLDER_LOST)));
        long receivedNanos = clock.nowNanos();
        workers.run(() -> holders.submit(request, outcome -> {
            stopAdmission.recordDuration(kind, clock.nowNanos() - receivedNanos);
            tracked.accept(toMessage(outcome));
        }));
    }

    private static Envelope.Builder toMessage(LeafOutcome outcome) {
        return Envelope.newBuilder().setLeafResult(LeafCodec.toMessage(outcome));
    }

    private static Envelope.Builder undecided() {
        return Envelope.newBuilder().setProposeResult(ProposeResult.newBuilder().setStatus(ProposeResult.Status.LOST));
    }

    private void handleLeafCancel(LeafCancel cancel) {
        holders.cancel(
                new UpstreamName(ServiceName.parse(cancel.getService()), cancel.getUpstream()), cancel.getCallId());
    }

    private void handlePropose(ByteString bytes, Consumer<Envelope.Builder> reply) {
        if (control.isEmpty()) {
            reply.accept(Envelope.newBuilder()
                    .setProposeResult(ProposeResult.newBuilder().setStatus(ProposeResult.Status.NOT_LEADER)));
            return;
        }
        Command command;
        try {
            command = Command.parseFrom(bytes);
        } catch (InvalidProtocolBufferException malformed) {
            reply.accept(Envelope.newBuilder()
                    .setProposeResult(ProposeResult.newBuilder().setStatus(ProposeResult.Status.REFUSED)));
            return;
        }
        control.get()
                .propose(command)
                .subscribe()
                .with(
                        result -> reply.accept(Envelope.newBuilder().setProposeResult(toMessage(result))),
                        failure -> reply.accept(undecided()));
    }

    private ProposeResult.Builder toMessage(ProposalResult result) {
        ProposeResult.Builder message = ProposeResult.newBuilder()
                .setLeader(control.flatMap(ControlNode::leader).orElse(""));
        if (result instanceof ProposalResult.Applied applied) {
            return message.setStatus(ProposeResult.Status.APPLIED)
                    .setResult(applied.result().toByteString());
        }
        return message.setStatus(
                result instanceof ProposalResult.Undecided
                        ? ProposeResult.Status.LOST
                        : ProposeResult.Status.NOT_LEADER);
    }

    private void handleControlRead(Envelope message, Consumer<Envelope.Builder> reply) {
        if (control.isEmpty()) {
            reply.accept(Envelope.newBuilder().setControlReadResult(ControlReadResult.getDefaultInstance()));
            return;
        }
        control.get()
                .read(message.getControlRead())
                .subscribe()
                .with(result -> reply.accept(Envelope.newBuilder().setControlReadResult(result)));
    }

    private void handleConfigurationPull(ConfigurationPull pull, Consumer<Envelope.Builder> reply) {
        if (control.isPresent() && control.get().isRunning()) {
            control.get()
                    .pull(pull)
                    .subscribe()
                    .with(delta -> reply.accept(Envelope.newBuilder().setConfigurationDelta(delta)));
            return;
        }
        workers.run(() -> {
            long lastSeenRevision = membership.revisions().getOrDefault(pull.getHost(), 0L);
            reply.accept(Envelope.newBuilder().setConfigurationDelta(follower.handlePeerPull(pull, lastSeenRevision)));
        });
    }
}
