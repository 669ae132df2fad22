package org.bramblerack.daemon.fleet;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.lang.System.Logger;
import java.util.function.Consumer;
import org.bramblerack.daemon.control.ControlNode;
import org.bramblerack.daemon.control.ProposalResult;
import org.bramblerack.daemon.peer.PeerHandler;
import org.bramblerack.daemon.peer.PeerNetwork;
import org.bramblerack.daemon.peer.PendingReplies;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.wire.Command;
import org.bramblerack.wire.Envelope;
import org.bramblerack.wire.HarmReportResult;
import org.bramblerack.wire.JoinRequest;
import org.bramblerack.wire.ProposeResult;
import org.bramblerack.wire.TakeTrialResult;

/**
 * Passes each message from another host to the part of the control role that handles it. Safe for use by many threads.
 */
final class ControlPeers implements PeerHandler {
    private static final Logger LOGGER = System.getLogger(ControlPeers.class.getName());

    private final ControlNode node;
    private final FleetControl fleet;
    private final PeerNetwork network;
    private final MonotonicClock clock;
    private final PendingReplies pendingProposals = new PendingReplies();

    ControlPeers(ControlNode node, FleetControl fleet, PeerNetwork network, MonotonicClock clock) {
        this.node = node;
        this.fleet = fleet;
        this.network = network;
        this.clock = clock;
    }

    /** Returns the number of proposals of other hosts that have not been replied to. */
    int proposalsInFlight() {
        return pendingProposals.count();
    }

    /** Replies to the proposals in flight as undecided. */
    void endProposals() {
        pendingProposals.endAll();
    }

    private static Envelope.Builder undecided() {
        return Envelope.newBuilder().setProposeResult(ProposeResult.newBuilder().setStatus(ProposeResult.Status.LOST));
    }

    @Override
    public void handle(Envelope message, Consumer<Envelope.Builder> reply) {
        switch (message.getBodyCase()) {
            case RAFT -> node.receive(message.getRaft());
            case HEARD_MEMBERS -> fleet.mergeContacts(message.getHeardMembers(), clock.nowNanos());
            case JOIN_REQUEST -> handleJoin(message.getJoinRequest());
            case PROPOSE ->
                handlePropose(
                        message.getPropose().getCommand(), pendingProposals.track(reply, ControlPeers::undecided));
            case CONTROL_READ ->
                node.read(message.getControlRead())
                        .subscribe()
                        .with(result -> reply.accept(Envelope.newBuilder().setControlReadResult(result)));
            case TABLE_PULL ->
                fleet.pull(message.getTablePull())
                        .subscribe()
                        .with(
                                delta -> reply.accept(Envelope.newBuilder().setTableDelta(delta)),
                                failure ->
                                        // The other host tries another control host when its request times out.
                                        LOGGER.log(
                                                Logger.Level.DEBUG,
                                                "a table pull was not answered because the control role has stopped: {0}",
                                                failure.getMessage()));
            case VERSION_QUERY ->
                fleet.newestVersion()
                        .subscribe()
                        .with(result -> reply.accept(Envelope.newBuilder().setVersionQueryResult(result)));
            case TAKE_TRIAL ->
                fleet.takeTrial(message.getTakeTrial())
                        .subscribe()
                        .with(granted -> reply.accept(Envelope.newBuilder()
                                .setTakeTrialResult(TakeTrialResult.newBuilder()
                                        .setGranted(granted.orElse(false))
                                        .setDecided(granted.isPresent()))));
            case HARM_REPORT ->
                fleet.reportHarm(message.getHarmReport())
                        .subscribe()
                        .with(acknowledged -> reply.accept(Envelope.newBuilder()
                                .setHarmReportResult(
                                        HarmReportResult.newBuilder().setTaken(acknowledged))));
            default -> {
                // A message kind of a newer release: ignored.
            }
        }
    }

    /** Starts replication to a host that requests to join, or forwards its request to the leader. */
    private void handleJoin(JoinRequest request) {
        if (node.isLeader()) {
            node.addLearner(request.getVoter());
        } else {
            node.leader()
                    .ifPresent(
                            leader -> network.send(leader, Envelope.newBuilder().setJoinRequest(request)));
        }
    }

    private void handlePropose(ByteString bytes, Consumer<Envelope.Builder> reply) {
        Command command;
        try {
            command = Command.parseFrom(bytes);
        } catch (InvalidProtocolBufferException malformed) {
            LOGGER.log(
                    Logger.Level.WARNING,
                    "rejected a proposed command that cannot be parsed: {0}",
                    malformed.getMessage());
            reply.accept(Envelope.newBuilder()
                    .setProposeResult(ProposeResult.newBuilder().setStatus(ProposeResult.Status.REFUSED)));
            return;
        }
        node.propose(command)
                .subscribe()
                .with(result -> reply.accept(Envelope.newBuilder().setProposeResult(toMessage(result))));
    }

    private ProposeResult.Builder toMessage(ProposalResult result) {
        ProposeResult.Builder message =
                ProposeResult.newBuilder().setLeader(node.leader().orElse(""));
        if (result instanceof ProposalResult.Applied applied) {
            return message.setStatus(ProposeResult.Status.APPLIED)
                    .setResult(applied.result().toByteString());
        }
        return message.setStatus(
                result instanceof ProposalResult.Undecided
                        ? ProposeResult.Status.LOST
                        : ProposeResult.Status.NOT_LEADER);
    }
}
