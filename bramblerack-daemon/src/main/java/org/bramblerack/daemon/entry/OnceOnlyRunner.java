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
import org.bramblerack.process.StopAdmission;
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
 * Runs the once-only requests of callers: claims them, dispatches them to upstreams, and records their outcomes.
 *
 * <p>Safe for use by many threads.
 */
public final class OnceOnlyRunner {
    /** The maximum size in bytes of an answer that is stored for resends. */
    public static final int MAX_STORED_ANSWER_BYTES = 64 * 1024;

    private static final Duration LOOK_UP_TIMEOUT = Duration.ofSeconds(2);

    private final ServiceDirectory directory;
    private final LeafRouter router;
    private final ControlClient control;
    private final Workers workers;
    private final MonotonicClock clock;
    private final InstantSource wallClock;
    private final RandomGenerator random;
    private final HostMetrics metrics;
    private final RequestIds ids;
    private final StopAdmission stopAdmission;
    private final OutcomeRecorder recorder;
    private final AtomicInteger inFlight = new AtomicInteger();

    /** Creates a runner whose claims and outcomes go to the replicated log. */
    public OnceOnlyRunner(
            ServiceDirectory directory,
            LeafRouter router,
            ControlClient control,
            Workers workers,
            MonotonicClock clock,
            InstantSource wallClock,
            RandomGenerator random,
            HostMetrics metrics,
            RequestIds ids,
            StopAdmission stopAdmission) {
        this.directory = directory;
        this.router = router;
        this.control = control;
        this.workers = workers;
        this.clock = clock;
        this.wallClock = wallClock;
        this.random = random;
        this.metrics = metrics;
        this.ids = ids;
        this.stopAdmission = stopAdmission;
        this.recorder = new OutcomeRecorder(control, wallClock, metrics);
    }

    /**
     * Runs a once-only request, or returns the outcome of an earlier attempt.
     *
     * @param done gets the result, once
     */
    public void run(CallerOperation request, Consumer<QueryResult> done) {
        Optional<ServiceView> view = directory.find(request.service());
        Operation operation = view.map(
                        serviceView -> serviceView.service().operations().get(request.operation()))
                .orElse(null);
        if (view.isEmpty()) {
            refuse(done, RefusalKind.UNKNOWN_SERVICE, "the service " + request.service() + " is not declared");
        } else if (operation == null) {
            refuse(
                    done,
                    RefusalKind.UNKNOWN_OPERATION,
                    "the service has no operation " + request.operation() + "; use one of "
                            + view.get().service().operations().keySet());
        } else {
            start(request, operation, view.get(), done);
        }
    }

    /** Looks up the claim of a once-only request; the callback gets nothing if no leader could confirm the result. */
    public void lookUp(String service, String requestId, Consumer<Optional<ControlReadResult>> done) {
        ControlRead read = ControlRead.newBuilder()
                .setKind(ControlRead.Kind.CLAIM)
                .setService(service)
                .setRequestId(requestId)
                .build();
        control.read(read, LOOK_UP_TIMEOUT)
                .subscribe()
                .with(
                        result -> workers.run(
                                () -> done.accept(result.getCurrent() ? Optional.of(result) : Optional.empty())),
                        failure -> workers.run(() -> done.accept(Optional.empty())));
    }

    /** Returns the number of requests that are in flight or whose outcome is not recorded yet. */
    public int inFlight() {
        return inFlight.get() + recorder.pendingCount();
    }

    private void start(
            CallerOperation callerOperation, Operation operation, ServiceView view, Consumer<QueryResult> done) {
        Duration timeout = callerOperation
                .deadline()
                .filter(deadline -> deadline.compareTo(operation.deadline()) < 0)
                .orElse(operation.deadline());
        long nowNanos = clock.nowNanos();
        String kind = "operation " + callerOperation.service() + " " + operation.name();
        if (!stopAdmission.mayAccept(kind, Duration.ZERO, nowNanos + timeout.toNanos())) {
            metrics.count(RefusalKind.STOPPING);
            done.accept(new QueryResult.Refused(Refusals.STOPPING));
            return;
        }
        String attempt = ids.next();
        ImmutableList<UpstreamName> pool =
                view.service().upstreams().stream().map(Upstream::name).collect(ImmutableList.toImmutableList());
        OnceOnlyRequest request =
                new OnceOnlyRequest(attempt, pool, view.tables(), random, nowNanos, nowNanos + timeout.toNanos());
        inFlight.incrementAndGet();
        Consumer<QueryResult> release = result -> {
            inFlight.decrementAndGet();
            stopAdmission.recordDuration(kind, clock.nowNanos() - nowNanos);
            if (result instanceof QueryResult.Refused refused) {
                metrics.count(refused.refusal().kind());
            }
            done.accept(result);
        };
        RunningOperation running = new RunningOperation(
                request, callerOperation, operation, attempt, router, recorder, workers, clock, metrics, release);
        running.start(onClaimed -> claim(callerOperation, operation, attempt, timeout, onClaimed));
    }

    private void claim(
            CallerOperation callerOperation,
            Operation operation,
            String attempt,
            Duration timeout,
            Consumer<ClaimResult> onResult) {
        ByteString identity =
                ByteString.copyFromUtf8(callerOperation.operation() + "\n").concat(callerOperation.body());
        Command command = Command.newBuilder()
                .setClaim(ClaimRequest.newBuilder()
                        .setService(callerOperation.service().toString())
                        .setRequestId(callerOperation.requestId().value())
                        .setAttempt(attempt)
                        .setAtMillis(wallClock.millis())
                        .setBodyDigest(Digests.of(identity))
                        .setRetentionMillis(operation.retention().toMillis())
                        .setIssuedAtMillis(callerOperation.issuedAtMillis())
                        .setDeadlineMillis(timeout.toMillis()))
                .build();
        control.propose(command, timeout)
                .subscribe()
                .with(
                        result -> workers.run(() -> onResult.accept(toClaimResult(result))),
                        failure -> workers.run(
                                () -> onResult.accept(new ClaimResult.NoQuorum(String.valueOf(failure.getMessage())))));
    }

    private static ClaimResult toClaimResult(ProposalResult result) {
        if (!(result instanceof ProposalResult.Applied applied)) {
            String reason = result instanceof ProposalResult.Rejected rejected ? rejected.reason() : "no decision";
            return new ClaimResult.NoQuorum(reason);
        }
        CommandResult commandResult = applied.result();
        return switch (commandResult.getKind()) {
            case CLAIMED -> new ClaimResult.Granted();
            case MISMATCH -> new ClaimResult.Mismatch();
            case EXPIRED -> new ClaimResult.Expired();
            case ALREADY -> toClaimResult(commandResult);
            case INVALID -> new ClaimResult.NoQuorum("its issue time lies in the future; correct the caller's clock");
            case NO_ROOM -> new ClaimResult.NoQuorum("too many old requests are remembered; state issuedAtMs");
            default -> new ClaimResult.NoQuorum("the claim was not granted");
        };
    }

    private static ClaimResult toClaimResult(CommandResult commandResult) {
        return switch (commandResult.getClaim().getKind()) {
            case RAN -> new ClaimResult.AlreadyRan(commandResult.getClaim().getAnswer());
            case UNKNOWN ->
                new ClaimResult.OutcomeUnknown(commandResult.getClaim().getReason());
            case IN_PROGRESS -> new ClaimResult.HeldByAnother();
            default -> new ClaimResult.NoQuorum("this attempt was given back");
        };
    }

    private void refuse(Consumer<QueryResult> done, RefusalKind kind, String message) {
        metrics.count(kind);
        done.accept(new QueryResult.Refused(Refusal.of(kind, message)));
    }
}
