package org.bramblerack.daemon.control;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
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

/**
 * The state that the agreed commands build, and the answers that are read from it.
 *
 * <p>Invariant: it is changed by agreed entries and snapshots alone; what hosts say of the configuration that they have
 * in force is kept beside it and is not agreed. Owned by the thread of the control role.
 */
final class AgreedState {
    private final ControlState state = new ControlState();
    private final InForceTable inForce = new InForceTable();
    private long snapshotBytes;

    /** Returns the tables of the fleet, to be read only. */
    ReplicatedTables tables() {
        return state.tables();
    }

    /** Applies an agreed entry; one without a command changes nothing. */
    CommandResult apply(LogEntry entry) throws InvalidProtocolBufferException {
        return entry.getCommand().isEmpty()
                ? CommandResult.getDefaultInstance()
                : state.apply(Command.parseFrom(entry.getCommand()));
    }

    /** Puts a snapshot in place of everything. */
    void restore(ByteString snapshot) {
        try {
            state.restore(ControlSnapshot.parseFrom(snapshot));
            snapshotBytes = snapshot.size();
        } catch (InvalidProtocolBufferException malformed) {
            throw new IllegalStateException(
                    "a checked snapshot cannot be read; use the version that wrote it", malformed);
        }
    }

    ByteString takeSnapshot() {
        ByteString snapshot = state.toSnapshot();
        snapshotBytes = snapshot.size();
        return snapshot;
    }

    /** Returns how long the last snapshot is that was taken or restored. */
    long snapshotBytes() {
        return snapshotBytes;
    }

    /** Notes what a host that asks for changes says that it has in force. */
    void hear(ConfigurationPull pull, long nowNanos) {
        inForce.record(pull, nowNanos);
    }

    /**
     * Returns the changes of the configuration since a revision.
     *
     * @param confirmed whether a leader confirmed that they are all
     */
    ConfigurationDelta changesSince(long knownRevision, boolean confirmed, String leader) {
        return ConfigurationDelta.newBuilder()
                .setRevision(state.revision())
                .setConfirmed(confirmed)
                .addAllDeclarations(state.declarationsAfter(knownRevision))
                .setLeader(leader)
                .build();
    }

    /** Returns what an operator or a host asks for; whether it is current is for the caller to say. */
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
