package org.bramblerack.process.agreement;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.bramblerack.process.members.ReplicatedTables;
import org.bramblerack.wire.ApplyDeclaration;
import org.bramblerack.wire.ChangeResult;
import org.bramblerack.wire.Claim;
import org.bramblerack.wire.Command;
import org.bramblerack.wire.CommandResult;
import org.bramblerack.wire.ControlSnapshot;
import org.bramblerack.wire.HistoryEntry;
import org.bramblerack.wire.PartnerDeclaration;

/**
 * The replicated state machine: the partners' declarations, the claims on once-only requests and the tables of the
 * fleet.
 *
 * <p>Invariants: the same commands in the same order give the same state and results on every voter, so this class
 * reads no clock and no settings. The revision only grows. A change identifier is accepted once; a resend returns the
 * result of the first. Not safe for use by several threads.
 */
public final class ControlState {
    private static final int MAX_CHANGE_RESULTS = 20_000;
    private static final int MAX_HISTORY_ENTRIES = 2_000;

    private final Map<String, PartnerDeclaration> declarations = new TreeMap<>();
    private final LinkedHashMap<ChangeKey, ChangeResult> results = new LinkedHashMap<>();
    private final List<HistoryEntry> history = new ArrayList<>();
    private final ReplicatedTables tables = new ReplicatedTables();
    private ClaimTable claims = new ClaimTable();
    private long revision;

    /** Applies a command and returns its result. */
    public CommandResult apply(Command command) {
        return switch (command.getBodyCase()) {
            case APPLY_DECLARATION -> applyDeclaration(command.getApplyDeclaration());
            case CLAIM -> claims.claim(command.getClaim());
            case OUTCOME -> claims.recordOutcome(command.getOutcome());
            case PUT_CONFIGURATION -> tables.putConfiguration(command.getPutConfiguration());
            case REPORT_LEAF -> tables.applyReport(command.getReportLeaf());
            case REPORT_HOST -> tables.applyReport(command.getReportHost());
            case FORGET_MEMBERS -> tables.markGone(command.getForgetMembers());
            case SET_SHARD_ACCESS -> tables.set(command.getSetShardAccess());
            case SET_ZONE_DRAIN -> tables.set(command.getSetZoneDrain());
            case TAKE_TRIAL -> tables.takeTrial(command.getTakeTrial());
            case REPORT_HARM -> tables.applyReport(command.getReportHarm());
            case BODY_NOT_SET ->
                CommandResult.newBuilder().setKind(CommandResult.Kind.INVALID).build();
        };
    }

    /** Returns the tables of the fleet. Callers must not modify them. */
    public ReplicatedTables tables() {
        return tables;
    }

    /** Returns the revision, which is the number of declarations accepted so far. */
    public long revision() {
        return revision;
    }

    /** Returns the declarations accepted after the given revision. */
    public ImmutableList<PartnerDeclaration> declarationsAfter(long knownRevision) {
        return declarations.values().stream()
                .filter(declaration -> declaration.getRevision() > knownRevision)
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the claim on a once-only request, unless there is none or it was evicted. */
    public Optional<Claim> claim(String service, String requestId) {
        return claims.find(service, requestId);
    }

    /** Returns true if a once-only request was claimed and its outcome has been evicted since. */
    public boolean isExpired(String service, String requestId) {
        return claims.isExpired(service, requestId);
    }

    /** Returns the number of claims that have not been evicted. */
    public int claimCount() {
        return claims.size();
    }

    /** Returns the most recently accepted changes, oldest first. */
    public ImmutableList<HistoryEntry> history() {
        return ImmutableList.copyOf(history);
    }

    /** Returns the whole state as a serialized {@link ControlSnapshot}. */
    public ByteString toSnapshot() {
        return ControlSnapshot.newBuilder()
                .setRevision(revision)
                .addAllDeclarations(declarations.values())
                .addAllHistory(history)
                .addAllResults(results.values())
                .addAllClaims(claims.claimsByExpiry())
                .setClockMillis(claims.clockMillis())
                .setForgotten(claims.expiredDigests())
                .setTables(tables.toSnapshot())
                .build()
                .toByteString();
    }

    /** Replaces the whole state by that of a snapshot. */
    public void restore(ControlSnapshot snapshot) {
        declarations.clear();
        results.clear();
        history.clear();
        revision = snapshot.getRevision();
        snapshot.getDeclarationsList().forEach(declaration -> declarations.put(declaration.getPartner(), declaration));
        snapshot.getResultsList()
                .forEach(changeResult -> results.put(
                        new ChangeKey(changeResult.getPartner(), changeResult.getChangeId()), changeResult));
        history.addAll(snapshot.getHistoryList());
        claims = ClaimTable.restore(snapshot);
        tables.restore(snapshot.getTables());
    }

    private CommandResult applyDeclaration(ApplyDeclaration change) {
        ChangeKey key = new ChangeKey(change.getPartner(), change.getChangeId());
        ByteString digest = Digests.of(change.getText());
        ChangeResult earlier = results.get(key);
        if (earlier != null) {
            boolean sameText = earlier.getTextDigest().equals(digest);
            return CommandResult.newBuilder()
                    .setKind(sameText ? CommandResult.Kind.ACCEPTED : CommandResult.Kind.MISMATCH)
                    .setRevision(earlier.getRevision())
                    .build();
        }
        PartnerDeclaration current =
                declarations.getOrDefault(change.getPartner(), PartnerDeclaration.getDefaultInstance());
        if (current.getRevision() != change.getExpectedRevision()) {
            return CommandResult.newBuilder()
                    .setKind(CommandResult.Kind.CONFLICT)
                    .setRevision(current.getRevision())
                    .setWinnerChangeId(changeIdAt(current.getRevision()))
                    .build();
        }
        accept(change, key, digest);
        return CommandResult.newBuilder()
                .setKind(CommandResult.Kind.ACCEPTED)
                .setRevision(revision)
                .build();
    }

    private void accept(ApplyDeclaration change, ChangeKey key, ByteString digest) {
        revision++;
        declarations.put(
                change.getPartner(),
                PartnerDeclaration.newBuilder()
                        .setPartner(change.getPartner())
                        .setRevision(revision)
                        .setText(change.getText())
                        .build());
        results.put(
                key,
                ChangeResult.newBuilder()
                        .setPartner(change.getPartner())
                        .setChangeId(change.getChangeId())
                        .setRevision(revision)
                        .setTextDigest(digest)
                        .build());
        if (results.size() > MAX_CHANGE_RESULTS) {
            results.remove(results.keySet().iterator().next());
        }
        history.add(HistoryEntry.newBuilder()
                .setRevision(revision)
                .setPartner(change.getPartner())
                .setChangeId(change.getChangeId())
                .setAcceptedAtMillis(change.getAtMillis())
                .build());
        if (history.size() > MAX_HISTORY_ENTRIES) {
            history.remove(0);
        }
    }

    private String changeIdAt(long acceptedRevision) {
        for (int position = history.size() - 1; position >= 0; position--) {
            if (history.get(position).getRevision() == acceptedRevision) {
                return history.get(position).getChangeId();
            }
        }
        return "";
    }

    private record ChangeKey(String partner, String changeId) {}
}
