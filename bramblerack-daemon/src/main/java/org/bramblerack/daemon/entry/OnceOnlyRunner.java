package org.bramblerack.daemon.entry;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.bramblerack.daemon.control.ControlClient;
import org.bramblerack.daemon.control.ProposalResult;
import org.bramblerack.daemon.peer.Workers;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.agreement.Digests;
import org.bramblerack.process.directory.ServiceDirectory;
import org.bramblerack.process.directory.ServiceView;
import org.bramblerack.request.ClaimResult;
import org.bramblerack.request.OnceOnlyRequest;
import org.bramblerack.request.Refusal;
import org.bramblerack.request.RefusalKind;
import org.bramblerack.version.Operation;
import org.bramblerack.version.Upstream;
import org.bramblerack.version.UpstreamName;
import org.bramblerack.wire.ClaimRequest;
import org.bramblerack.wire.Command;
import org.bramblerack.wire.CommandResult;
import org.bramblerack.wire.ControlRead;
import org.bramblerack.wire.ControlReadResult;

/**
 * Runs the once-only requests of callers: claims them, hands them over, and records their outcomes.
 *
 * <p>Safe for use by many threads.
 */
public final class OnceOnlyRunner {
    /** The longest answer that is kept for resends, in bytes. */
    public static final int LONGEST_KEPT_ANSWER_BYTES = 64 * 1024;

    private static final Duration LOOK_UP = Duration.ofSeconds(2);

    private final ServiceDirectory directory;
    private final LeafRouter router;
    private final ControlClient control;
    private final Workers workers;
    private final MonotonicClock clock;
    private final InstantSource wallClock;
    private final RandomGenerator random;
    private final HostMetrics metrics;
    private final RequestIds ids;
    private final OutcomeRecorder recorder;
    private final AtomicInteger inFlight = new AtomicInteger();

    /** Creates a runner. */
    public OnceOnlyRunner(
            ServiceDirectory directory,
            LeafRouter router,
            ControlClient control,
            Workers workers,
            MonotonicClock clock,
            InstantSource wallClock,
            RandomGenerator random,
            HostMetrics metrics,
            RequestIds ids) {
        this.directory = directory;
        this.router = router;
        this.control = control;
        this.workers = workers;
        this.clock = clock;
        this.wallClock = wallClock;
        this.random = random;
        this.metrics = metrics;
        this.ids = ids;
        this.recorder = new OutcomeRecorder(control, wallClock, metrics);
    }

    /**
     * Runs a once-only request, or finds out what came of it.
     *
     * @param done gets the result, once
     */
    public void run(CallerOperation asked, Consumer<QueryResult> done) {
        Optional<ServiceView> view = directory.find(asked.service());
        Operation operation = view.map(known -> known.service().operations().get(asked.operation()))
                .orElse(null);
        if (view.isEmpty()) {
            refuse(done, RefusalKind.UNKNOWN_SERVICE, "the service " + asked.service() + " is not declared");
        } else if (operation == null) {
            refuse(
                    done,
                    RefusalKind.UNKNOWN_OPERATION,
                    "the service has no operation " + asked.operation() + "; use one of "
                            + view.get().service().operations().keySet());
        } else {
            begin(asked, operation, view.get(), done);
        }
    }

    /** Looks up what came of a once-only request. */
    public void lookUp(String service, String requestId, Consumer<Optional<ControlReadResult>> done) {
        ControlRead read = ControlRead.newBuilder()
                .setKind(ControlRead.Kind.CLAIM)
                .setService(service)
                .setRequestId(requestId)
                .build();
        control.read(read, LOOK_UP)
                .subscribe()
                .with(
                        result -> workers.run(
                                () -> done.accept(result.getCurrent() ? Optional.of(result) : Optional.empty())),
                        failure -> workers.run(() -> done.accept(Optional.empty())));
    }

    /** Returns how many requests are in flight or have an outcome to be recorded. */
    public int inFlight() {
        return inFlight.get() + recorder.unrecorded();
    }

    private void begin(CallerOperation asked, Operation operation, ServiceView view, Consumer<QueryResult> done) {
        Duration time = asked.deadline()
                .filter(deadline -> deadline.compareTo(operation.deadline()) < 0)
                .orElse(operation.deadline());
        String attempt = ids.next();
        long nowNanos = clock.nowNanos();
        ImmutableList<UpstreamName> pool =
                view.service().upstreams().stream().map(Upstream::name).collect(ImmutableList.toImmutableList());
        OnceOnlyRequest request =
                new OnceOnlyRequest(attempt, pool, view.tables(), random, nowNanos, nowNanos + time.toNanos());
        inFlight.incrementAndGet();
        Consumer<QueryResult> release = result -> {
            inFlight.decrementAndGet();
            if (result instanceof QueryResult.Refused refused) {
                metrics.count(refused.refusal().kind());
            }
            done.accept(result);
        };
        RunningOperation running = new RunningOperation(
                request, asked, operation, attempt, router, recorder, workers, clock, metrics, release);
        running.start(claimed -> claim(asked, operation, attempt, time, claimed));
    }

    private void claim(
            CallerOperation asked, Operation operation, String attempt, Duration time, Consumer<ClaimResult> decided) {
        ByteString identity = ByteString.copyFromUtf8(asked.operation() + "\n").concat(asked.body());
        Command command = Command.newBuilder()
                .setClaim(ClaimRequest.newBuilder()
                        .setService(asked.service().toString())
                        .setRequestId(asked.requestId().value())
                        .setAttempt(attempt)
                        .setAtMillis(wallClock.millis())
                        .setBodyDigest(Digests.of(identity))
                        .setRetentionMillis(operation.retention().toMillis())
                        .setIssuedAtMillis(asked.issuedAtMillis())
                        .setDeadlineMillis(time.toMillis()))
                .build();
        control.propose(command, time)
                .subscribe()
                .with(
                        result -> workers.run(() -> decided.accept(toVerdict(result))),
                        failure -> workers.run(
                                () -> decided.accept(new ClaimResult.NoQuorum(String.valueOf(failure.getMessage())))));
    }

    private static ClaimResult toVerdict(ProposalResult result) {
        if (!(result instanceof ProposalResult.Applied applied)) {
            String reason = result instanceof ProposalResult.NotTaken notTaken ? notTaken.reason() : "no decision";
            return new ClaimResult.NoQuorum(reason);
        }
        CommandResult agreed = applied.result();
        return switch (agreed.getKind()) {
            case CLAIMED -> new ClaimResult.Granted();
            case MISMATCH -> new ClaimResult.Mismatch();
            case EXPIRED -> new ClaimResult.Expired();
            case ALREADY -> toVerdict(agreed);
            case INVALID -> new ClaimResult.NoQuorum("its issue time lies in the future; correct the caller's clock");
            case NO_ROOM -> new ClaimResult.NoQuorum("too many old requests are remembered; state issuedAtMs");
            default -> new ClaimResult.NoQuorum("the claim was not granted");
        };
    }

    private static ClaimResult toVerdict(CommandResult agreed) {
        return switch (agreed.getClaim().getKind()) {
            case RAN -> new ClaimResult.AlreadyRan(agreed.getClaim().getAnswer());
            case UNKNOWN -> new ClaimResult.OutcomeUnknown(agreed.getClaim().getReason());
            case IN_PROGRESS -> new ClaimResult.HeldByAnother();
            default -> new ClaimResult.NoQuorum("this attempt was given back");
        };
    }

    private void refuse(Consumer<QueryResult> done, RefusalKind kind, String message) {
        metrics.count(kind);
        done.accept(new QueryResult.Refused(Refusal.of(kind, message)));
    }
}
