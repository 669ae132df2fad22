package org.bramblerack.daemon.control;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.bramblerack.daemon.event.EventLog;
import org.bramblerack.process.agreement.ControlState;
import org.bramblerack.process.members.ReplicatedTables;
import org.bramblerack.wire.Command;
import org.bramblerack.wire.CommandResult;
import org.bramblerack.wire.ConfigurationDelta;
import org.bramblerack.wire.ConfigurationPull;
import org.bramblerack.wire.ControlRead;
import org.bramblerack.wire.ControlReadResult;
import org.bramblerack.wire.ControlSnapshot;
import org.bramblerack.wire.LogEntry;
import org.bramblerack.wire.SetZoneDrain;

/**
 * The state machine of the replicated log, and the reads from it.
 *
 * <p>Invariant: only committed entries and snapshots change the replicated state. The revisions that hosts report to
 * have in force are kept beside it and are not replicated. Owned by the thread of the control role.
 */
final class ReplicatedState {
    private static final EventLog EVENTS = EventLog.of(ReplicatedState.class);

    private final ControlState state = new ControlState();
    private final InForceRevisions inForce = new InForceRevisions();
    private long lastSnapshotBytes;

    /** Returns the tables of the fleet. Callers must not modify them. */
    ReplicatedTables tables() {
        return state.tables();
    }

    /** Applies a committed entry; an entry without a command changes nothing. */
    CommandResult apply(LogEntry entry) throws InvalidProtocolBufferException {
        if (entry.getCommand().isEmpty()) {
            return CommandResult.getDefaultInstance();
        }
        Command command = Command.parseFrom(entry.getCommand());
        CommandResult result = state.apply(command);
        if (command.hasSetZoneDrain()) {
            logZoneDrain(command.getSetZoneDrain(), result, entry.getIndex());
        }
        return result;
    }

    private static void logZoneDrain(SetZoneDrain order, CommandResult result, long index) {
        EVENTS.info("zone_drain_applied")
                .with("zone", order.getZone())
                .with("drained", order.getDrained())
                .with("result", result.getKind().name())
                .with("order", result.getZoneOrder())
                .with("revision", result.getRevision())
                .with("index", index)
                .with("receivedBy", order.getReceivedBy())
                .with("caller", order.getCaller())
                .write();
    }

    /** Replaces the whole state by a snapshot. */
    void restore(ByteString snapshot) {
        try {
            state.restore(ControlSnapshot.parseFrom(snapshot));
            lastSnapshotBytes = snapshot.size();
        } catch (InvalidProtocolBufferException malformed) {
            throw new IllegalStateException(
                    "the snapshot has a valid checksum but cannot be parsed; run the program version that wrote it",
                    malformed);
        }
    }

    ByteString takeSnapshot() {
        ByteString snapshot = state.toSnapshot();
        lastSnapshotBytes = snapshot.size();
        return snapshot;
    }

    /** Returns the size in bytes of the last snapshot that was taken or restored. */
    long lastSnapshotBytes() {
        return lastSnapshotBytes;
    }

    /** Records the revision that a host reports to have in force when it requests changes. */
    void recordInForce(ConfigurationPull pull, long nowNanos) {
        inForce.record(pull, nowNanos);
    }

    /**
     * Returns the changes of the configuration since a revision.
     *
     * @param confirmed whether a leader confirmed that the changes are complete
     */
    ConfigurationDelta changesSince(long knownRevision, boolean confirmed, String leader) {
        return ConfigurationDelta.newBuilder()
                .setRevision(state.revision())
                .setConfirmed(confirmed)
                .addAllDeclarations(state.declarationsAfter(knownRevision))
                .setLeader(leader)
                .build();
    }

    /** Returns the result of a read from the state of this host; the caller sets whether it is current. */
    ControlReadResult.Builder read(ControlRead request, long nowNanos) {
        ControlReadResult.Builder result = ControlReadResult.newBuilder().setRevision(state.revision());
        switch (request.getKind()) {
            case CLAIM -> {
                state.claim(request.getService(), request.getRequestId()).ifPresent(result::setClaim);
                result.setForgotten(state.isExpired(request.getService(), request.getRequestId()));
            }
            case HISTORY -> result.addAllHistory(state.history());
            case ROUTING ->
                result.setRoutingVersion(state.tables().configurationVersion())
                        .setRoutingDocument(state.tables().configuration());
            case ROUTING_VERSION -> result.setRoutingVersion(state.tables().configurationVersion());
            default -> result.addAllInForce(inForce.toList(nowNanos)).addAllDeclarations(state.declarationsAfter(0));
        }
        return result;
    }
}
