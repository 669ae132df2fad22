package org.bramblerack.daemon.entry;

import com.fasterxml.jackson.core.JsonGenerator;
import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import com.google.common.primitives.Longs;
import io.vavr.control.Either;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.RoutingContext;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Supplier;
import org.bramblerack.daemon.control.ControlClient;
import org.bramblerack.daemon.control.ProposalResult;
import org.bramblerack.daemon.settings.Settings;
import org.bramblerack.process.directory.ServiceDirectory;
import org.bramblerack.process.directory.ServiceView;
import org.bramblerack.process.document.ValidationError;
import org.bramblerack.request.Refusal;
import org.bramblerack.request.RefusalKind;
import org.bramblerack.request.RequestId;
import org.bramblerack.version.Declaration;
import org.bramblerack.version.DeclarationReader;
import org.bramblerack.version.ShardMap;
import org.bramblerack.wire.ApplyDeclaration;
import org.bramblerack.wire.Command;
import org.bramblerack.wire.CommandResult;
import org.bramblerack.wire.ControlRead;
import org.bramblerack.wire.ControlReadResult;
import org.bramblerack.wire.HistoryEntry;
import org.bramblerack.wire.HostRevision;
import org.bramblerack.wire.PartnerDeclaration;

/**
 * The HTTP interface for operators: applies declarations, and shows the status of hosts and services and the history of
 * changes.
 *
 * <p>Credentials are compared by their digests in constant time and are never logged or shown. Safe for use by many
 * threads.
 */
public final class OperatorApi {
    /** The header with the identifier of the change, which makes a resend after a lost answer idempotent. */
    public static final String CHANGE_ID_HEADER = "X-Change-Id";
    /** The header with the revision of the partner's declaration that the change replaces; 0 if there is none. */
    public static final String EXPECTED_REVISION_HEADER = "X-Expected-Revision";

    private static final Duration APPLY_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(2);
    private static final String BEARER = "Bearer ";
    private static final int STATUS_OK = 200;

    private final Settings settings;
    private final ServiceDirectory directory;
    private final ControlClient control;
    private final InstantSource wallClock;
    private final HostMetrics metrics;
    private final Supplier<Duration> sinceConfirmed;
    private final Supplier<StoppingState> stopping;

    /**
     * Creates the interface.
     *
     * @param sinceConfirmed returns the time since a leader last confirmed this host's configuration
     */
    public OperatorApi(
            Settings settings,
            ServiceDirectory directory,
            ControlClient control,
            InstantSource wallClock,
            HostMetrics metrics,
            Supplier<Duration> sinceConfirmed,
            Supplier<StoppingState> stopping) {
        this.settings = settings;
        this.directory = directory;
        this.control = control;
        this.wallClock = wallClock;
        this.metrics = metrics;
        this.sinceConfirmed = sinceConfirmed;
        this.stopping = stopping;
    }

    void apply(RoutingContext context) {
        String partner = context.pathParam("partner");
        String changeId = String.valueOf(context.request().getHeader(CHANGE_ID_HEADER));
        String expectedText = context.request().getHeader(EXPECTED_REVISION_HEADER);
        Long expected = expectedText == null ? null : Longs.tryParse(expectedText);
        if (!isAuthorized(context, partner)) {
            refuse(
                    context,
                    Refusal.of(
                            RefusalKind.UNAUTHORIZED,
                            "the credential of " + partner + " is missing or wrong; send it as a bearer token"));
        } else if (context.request().getHeader(CHANGE_ID_HEADER) == null || !RequestId.isValid(changeId)) {
            refuse(
                    context,
                    Refusal.of(
                            RefusalKind.BAD_REQUEST,
                            "the header " + CHANGE_ID_HEADER + " is missing or malformed; add it"));
        } else if (expected == null || expected < 0) {
            refuse(
                    context,
                    Refusal.of(
                            RefusalKind.BAD_REQUEST,
                            "the header " + EXPECTED_REVISION_HEADER
                                    + " is missing or no revision; give the present one"));
        } else {
            applyAuthorized(context, partner, changeId, expected);
        }
    }

    void status(RoutingContext context) {
        control.read(ControlRead.newBuilder().setKind(ControlRead.Kind.STATUS).build(), READ_TIMEOUT)
                .subscribe()
                .with(
                        fleet -> EntryServer.send(context, STATUS_OK, statusJson(fleet)),
                        failure -> EntryServer.send(
                                context, STATUS_OK, statusJson(ControlReadResult.getDefaultInstance())));
    }

    void history(RoutingContext context) {
        readCurrent(
                context,
                ControlRead.Kind.HISTORY,
                result -> AnswerWriter.write(json -> {
                    json.writeArrayFieldStart("history");
                    for (HistoryEntry entry : result.getHistoryList()) {
                        json.writeStartObject();
                        json.writeNumberField("revision", entry.getRevision());
                        json.writeStringField("partner", entry.getPartner());
                        json.writeStringField("changeId", entry.getChangeId());
                        json.writeNumberField("acceptedAtMs", entry.getAcceptedAtMillis());
                        json.writeEndObject();
                    }
                    json.writeEndArray();
                }));
    }

    void declaration(RoutingContext context) {
        String partner = context.pathParam("partner");
        readCurrent(context, ControlRead.Kind.STATUS, result -> {
            PartnerDeclaration found = result.getDeclarationsList().stream()
                    .filter(declaration -> declaration.getPartner().equals(partner))
                    .findFirst()
                    .orElse(PartnerDeclaration.getDefaultInstance());
            return AnswerWriter.write(json -> {
                json.writeStringField("partner", partner);
                json.writeNumberField("revision", found.getRevision());
                json.writeStringField("text", found.getText());
            });
        });
    }

    private void applyAuthorized(RoutingContext context, String partner, String changeId, long expected) {
        Buffer body = context.body().buffer();
        String text = body == null ? "" : body.toString(StandardCharsets.UTF_8);
        Either<ImmutableList<ValidationError>, Declaration> read = DeclarationReader.read(text);
        ImmutableList<ValidationError> errors = read.isLeft() ? read.getLeft() : ImmutableList.of();
        if (read.isRight() && !read.get().partner().equals(partner)) {
            errors = ImmutableList.of(new ValidationError(
                    1,
                    "partner",
                    "the file is of " + read.get().partner() + " and was sent for " + partner,
                    "apply it as its own partner"));
        }
        if (!errors.isEmpty()) {
            Refusal refusal = Refusal.of(
                    RefusalKind.INVALID_DECLARATION,
                    "the declaration has " + errors.size() + " faults and nothing of it was applied; mend them all");
            metrics.count(refusal.kind());
            EntryServer.sendRefusal(context, refusal, Optional.empty(), errors);
            return;
        }
        Command command = Command.newBuilder()
                .setApplyDeclaration(ApplyDeclaration.newBuilder()
                        .setPartner(partner)
                        .setChangeId(changeId)
                        .setExpectedRevision(expected)
                        .setText(text)
                        .setAtMillis(wallClock.millis()))
                .build();
        control.propose(command, APPLY_TIMEOUT)
                .subscribe()
                .with(
                        result -> sendApplyResult(context, partner, result),
                        failure -> sendApplyResult(
                                context, partner, new ProposalResult.Undecided(String.valueOf(failure.getMessage()))));
    }

    private void sendApplyResult(RoutingContext context, String partner, ProposalResult result) {
        if (result instanceof ProposalResult.Rejected rejected) {
            refuse(
                    context,
                    Refusal.of(
                            RefusalKind.NO_QUORUM,
                            "the change was not accepted (" + rejected.reason() + "); send it again"));
        } else if (result instanceof ProposalResult.Applied applied) {
            sendCommandResult(context, partner, applied.result());
        } else {
            refuse(
                    context,
                    Refusal.of(
                            RefusalKind.CHANGE_UNKNOWN,
                            "it is not known whether the change was accepted; send it again with the same "
                                    + CHANGE_ID_HEADER));
        }
    }

    private void sendCommandResult(RoutingContext context, String partner, CommandResult result) {
        switch (result.getKind()) {
            case ACCEPTED ->
                EntryServer.send(context, STATUS_OK, AnswerWriter.write(json -> {
                    json.writeStringField("partner", partner);
                    json.writeBooleanField("accepted", true);
                    json.writeNumberField("revision", result.getRevision());
                }));
            case CONFLICT ->
                refuse(
                        context,
                        Refusal.of(
                                RefusalKind.REVISION_CONFLICT,
                                "the declaration of " + partner + " is at revision " + result.getRevision()
                                        + " since change " + result.getWinnerChangeId()
                                        + "; look at it, then apply yours on that revision"));
            case MISMATCH ->
                refuse(
                        context,
                        Refusal.of(
                                RefusalKind.REQUEST_MISMATCH,
                                "the change identifier was used for another text, accepted as revision "
                                        + result.getRevision() + "; use a new identifier"));
            default -> refuse(context, Refusal.of(RefusalKind.INTERNAL, "the change had no result; please report it"));
        }
    }

    private void readCurrent(RoutingContext context, ControlRead.Kind kind, ResultWriter writer) {
        control.read(ControlRead.newBuilder().setKind(kind).build(), READ_TIMEOUT)
                .subscribe()
                .with(
                        result -> {
                            if (result.getCurrent()) {
                                EntryServer.send(context, STATUS_OK, writer.write(result));
                            } else {
                                refuseUnavailable(context);
                            }
                        },
                        failure -> refuseUnavailable(context));
    }

    private void refuseUnavailable(RoutingContext context) {
        refuse(
                context,
                Refusal.of(RefusalKind.READ_UNAVAILABLE, "no quorum of control hosts answered; ask again later"));
    }

    private byte[] statusJson(ControlReadResult fleet) {
        return AnswerWriter.write(json -> {
            json.writeStringField("host", settings.host());
            json.writeStringField("zone", settings.zone());
            json.writeStringField("state", stopping.get().name().toLowerCase(Locale.ROOT));
            json.writeNumberField("revision", directory.configuration().revision());
            json.writeNumberField("unconfirmedMs", sinceConfirmed.get().toMillis());
            json.writeBooleanField("quorum", fleet.getCurrent());
            json.writeStringField("leader", fleet.getLeader());
            if (fleet.getCurrent()) {
                json.writeNumberField("acceptedRevision", fleet.getRevision());
            }
            writeServices(json);
            writeHosts(json, fleet);
        });
    }

    private void writeServices(JsonGenerator json) throws IOException {
        json.writeArrayFieldStart("services");
        for (ServiceView view : directory.services()) {
            Optional<ShardMap> newest = view.tables().versions().newest();
            json.writeStartObject();
            json.writeStringField("name", view.service().name().toString());
            json.writeNumberField("upstreams", view.service().upstreams().size());
            json.writeNumberField(
                    "indexVersion", newest.map(ShardMap::indexVersion).orElse(0L));
            json.writeNumberField("shards", newest.map(ShardMap::shardCount).orElse(0));
            json.writeNumberField(
                    "shardsServed",
                    newest.map(map -> map.replicas().stream()
                                    .filter(replicas -> !replicas.isEmpty())
                                    .count())
                            .orElse(0L));
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    private void writeHosts(JsonGenerator json, ControlReadResult fleet) throws IOException {
        json.writeArrayFieldStart("hosts");
        for (var entry : settings.hosts()) {
            Optional<HostRevision> inForce = fleet.getInForceList().stream()
                    .filter(host -> host.getHost().equals(entry.name()))
                    .findFirst();
            json.writeStartObject();
            json.writeStringField("name", entry.name());
            json.writeStringField("zone", entry.zone());
            json.writeBooleanField("control", entry.control());
            json.writeNumberField(
                    "revision", inForce.map(HostRevision::getRevision).orElse(-1L));
            json.writeNumberField(
                    "heardMsAgo", inForce.map(HostRevision::getHeardMillisAgo).orElse(-1L));
            json.writeBooleanField(
                    "leaving", inForce.map(HostRevision::getLeaving).orElse(false));
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    private boolean isAuthorized(RoutingContext context, String partner) {
        String header = context.request().getHeader("Authorization");
        String expectedDigest = settings.credentialDigests().get(partner);
        if (header == null || expectedDigest == null || !header.startsWith(BEARER)) {
            return false;
        }
        String tokenDigest = Hashing.sha256()
                .hashString(header.substring(BEARER.length()), StandardCharsets.UTF_8)
                .toString();
        return MessageDigest.isEqual(
                tokenDigest.getBytes(StandardCharsets.US_ASCII), expectedDigest.getBytes(StandardCharsets.US_ASCII));
    }

    private void refuse(RoutingContext context, Refusal refusal) {
        metrics.count(refusal.kind());
        EntryServer.sendRefusal(context, refusal, Optional.empty(), ImmutableList.of());
    }

    /** Converts the result of a read to JSON. */
    @FunctionalInterface
    private interface ResultWriter {
        byte[] write(ControlReadResult result);
    }
}
