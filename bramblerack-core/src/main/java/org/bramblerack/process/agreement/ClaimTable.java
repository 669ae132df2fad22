package org.bramblerack.process.agreement;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.bramblerack.wire.Claim;
import org.bramblerack.wire.ClaimRequest;
import org.bramblerack.wire.CommandResult;
import org.bramblerack.wire.ControlSnapshot;
import org.bramblerack.wire.OutcomeKind;
import org.bramblerack.wire.RecordOutcome;

/**
 * The claims on once-only requests.
 *
 * <p>Invariants: a request is granted to one attempt at a time, and to another only after the first recorded that it
 * did not run. Only the attempt that holds a claim records its outcome. After its outcome has been evicted, a request
 * is still refused: by its issue time if the caller stated one, else by a stored digest. The clock is advanced by the
 * times in the commands and never goes back.
 *
 * <p>Not safe for use by several threads. A command costs logarithmic time in the number of claims.
 */
final class ClaimTable {
    /** Once this many digests are stored, new requests without an issue time are refused. */
    static final int MAX_EXPIRED_DIGESTS = 500_000;

    private static final long MAX_CLOCK_SKEW_MILLIS = 5L * 60 * 1_000;
    private static final long ABANDONED_RETENTION_MILLIS = 60L * 60 * 1_000;

    private final Map<ClaimKey, Claim> claims = new HashMap<>();
    private final TreeSet<Expiry> expiries =
            new TreeSet<>(Comparator.comparingLong(Expiry::atMillis).thenComparing(Expiry::key, ClaimKey.ORDER));
    private final Set<ByteString> expiredDigests = new LinkedHashSet<>();
    private long clockMillis;

    static ClaimTable restore(ControlSnapshot snapshot) {
        ClaimTable table = new ClaimTable();
        table.clockMillis = snapshot.getClockMillis();
        snapshot.getClaimsList().forEach(table::put);
        ByteString digests = snapshot.getForgotten();
        for (int start = 0; start + Digests.SHORT_BYTES <= digests.size(); start += Digests.SHORT_BYTES) {
            table.expiredDigests.add(digests.substring(start, start + Digests.SHORT_BYTES));
        }
        return table;
    }

    CommandResult claim(ClaimRequest request) {
        advanceClock(request.getAtMillis());
        ClaimKey key = new ClaimKey(request.getService(), request.getRequestId());
        Claim existing = claims.get(key);
        if (existing == null) {
            return claimNew(key, request);
        }
        boolean otherBody = !existing.getBodyDigest().equals(request.getBodyDigest());
        if (otherBody && !existing.getBodyDigest().isEmpty()) {
            return result(CommandResult.Kind.MISMATCH, existing);
        }
        boolean sameAttempt = existing.getAttempt().equals(request.getAttempt());
        if (existing.getKind() == OutcomeKind.IN_PROGRESS && sameAttempt) {
            return result(CommandResult.Kind.CLAIMED, existing);
        }
        if (existing.getKind() == OutcomeKind.NOT_RUN && !sameAttempt) {
            return grant(key, request);
        }
        return result(CommandResult.Kind.ALREADY, existing);
    }

    CommandResult recordOutcome(RecordOutcome outcome) {
        advanceClock(outcome.getAtMillis());
        ClaimKey key = new ClaimKey(outcome.getService(), outcome.getRequestId());
        Claim existing = claims.get(key);
        if (existing == null && outcome.getKind() == OutcomeKind.NOT_RUN) {
            return abandonBeforeClaim(outcome);
        }
        if (existing == null || !existing.getAttempt().equals(outcome.getAttempt())) {
            return result(CommandResult.Kind.NOT_HOLDER, Claim.getDefaultInstance());
        }
        if (!isValidTransition(existing.getKind(), outcome.getKind())) {
            return result(CommandResult.Kind.ALREADY, existing);
        }
        Claim changed = existing.toBuilder()
                .setKind(outcome.getKind())
                .setAnswer(outcome.getAnswer())
                .setReason(outcome.getReason())
                .build();
        put(changed);
        return result(CommandResult.Kind.RECORDED, changed);
    }

    Optional<Claim> find(String service, String requestId) {
        return Optional.ofNullable(claims.get(new ClaimKey(service, requestId)));
    }

    boolean isExpired(String service, String requestId) {
        return expiredDigests.contains(Digests.shortDigest(service, requestId));
    }

    int size() {
        return claims.size();
    }

    long clockMillis() {
        return clockMillis;
    }

    /** Returns the claims by expiry time, an order that is the same on every voter. */
    ImmutableList<Claim> claimsByExpiry() {
        ImmutableList.Builder<Claim> ordered = ImmutableList.builder();
        for (Expiry expiry : expiries) {
            Claim claim = claims.get(expiry.key());
            if (claim != null) {
                ordered.add(claim);
            }
        }
        return ordered.build();
    }

    ByteString expiredDigests() {
        return ByteString.copyFrom(expiredDigests);
    }

    private CommandResult claimNew(ClaimKey key, ClaimRequest request) {
        boolean issueTimeKnown = request.getIssuedAtMillis() > 0;
        boolean tooOld = issueTimeKnown && request.getIssuedAtMillis() + request.getRetentionMillis() <= clockMillis;
        if (tooOld || isExpired(key.service(), key.requestId())) {
            return result(CommandResult.Kind.EXPIRED, Claim.getDefaultInstance());
        }
        if (request.getIssuedAtMillis() > clockMillis + MAX_CLOCK_SKEW_MILLIS) {
            return result(CommandResult.Kind.INVALID, Claim.getDefaultInstance());
        }
        if (!issueTimeKnown && expiredDigests.size() >= MAX_EXPIRED_DIGESTS) {
            return result(CommandResult.Kind.NO_ROOM, Claim.getDefaultInstance());
        }
        return grant(key, request);
    }

    /** Records an attempt that was abandoned before its claim arrived, so that a late claim is not granted. */
    private CommandResult abandonBeforeClaim(RecordOutcome outcome) {
        Claim abandoned = Claim.newBuilder()
                .setService(outcome.getService())
                .setRequestId(outcome.getRequestId())
                .setAttempt(outcome.getAttempt())
                .setKind(OutcomeKind.NOT_RUN)
                .setReason(outcome.getReason())
                .setAtMillis(clockMillis)
                .setKeepUntilMillis(clockMillis + ABANDONED_RETENTION_MILLIS)
                .build();
        put(abandoned);
        return result(CommandResult.Kind.RECORDED, abandoned);
    }

    private CommandResult grant(ClaimKey key, ClaimRequest request) {
        long retentionStartMillis = Math.max(clockMillis, request.getIssuedAtMillis());
        Claim granted = Claim.newBuilder()
                .setService(key.service())
                .setRequestId(key.requestId())
                .setAttempt(request.getAttempt())
                .setKind(OutcomeKind.IN_PROGRESS)
                .setAtMillis(clockMillis)
                .setBodyDigest(request.getBodyDigest())
                .setKeepUntilMillis(retentionStartMillis + request.getRetentionMillis())
                .setIssueTimeKnown(request.getIssuedAtMillis() > 0)
                .setDeadlineMillis(request.getDeadlineMillis())
                .build();
        put(granted);
        return result(CommandResult.Kind.CLAIMED, granted);
    }

    private void put(Claim claim) {
        ClaimKey key = new ClaimKey(claim.getService(), claim.getRequestId());
        Claim replaced = claims.put(key, claim);
        if (replaced != null) {
            expiries.remove(new Expiry(replaced.getKeepUntilMillis(), key));
        }
        expiries.add(new Expiry(claim.getKeepUntilMillis(), key));
    }

    private void advanceClock(long atMillis) {
        clockMillis = Math.max(clockMillis, atMillis);
        while (!expiries.isEmpty() && expiries.first().atMillis() <= clockMillis) {
            evict(expiries.first());
        }
    }

    private void evict(Expiry expiry) {
        expiries.remove(expiry);
        Claim claim = claims.remove(expiry.key());
        boolean mayRunAgain = claim == null || claim.getKind() == OutcomeKind.NOT_RUN;
        if (!mayRunAgain && !claim.getIssueTimeKnown()) {
            expiredDigests.add(Digests.shortDigest(claim.getService(), claim.getRequestId()));
        }
    }

    private static boolean isValidTransition(OutcomeKind from, OutcomeKind to) {
        return switch (from) {
            case IN_PROGRESS -> to == OutcomeKind.RAN || to == OutcomeKind.NOT_RUN || to == OutcomeKind.UNKNOWN;
            case UNKNOWN -> to == OutcomeKind.RAN;
            default -> false;
        };
    }

    private static CommandResult result(CommandResult.Kind kind, Claim claim) {
        return CommandResult.newBuilder().setKind(kind).setClaim(claim).build();
    }

    private record ClaimKey(String service, String requestId) {
        static final Comparator<ClaimKey> ORDER =
                Comparator.comparing(ClaimKey::service).thenComparing(ClaimKey::requestId);
    }

    private record Expiry(long atMillis, ClaimKey key) {}
}
