package org.bramblerack.daemon.gateway;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.leaf.LagSamplingPeriod;
import org.bramblerack.request.admission.AdmissionAction;
import org.bramblerack.request.admission.EntryAdmission;
import org.bramblerack.request.admission.QueuedRequest;
import org.bramblerack.version.routing.RateLimit;
import org.bramblerack.version.routing.Team;

/** Starts requests as this host has capacity for them. Owned by the event loop. */
final class RequestCapacity {
    /** The processor time of a leaf call on a host with a third of a core. */
    private static final Duration LEAF_CALL_COST = Duration.ofNanos(300_000);
    /** The weight of a team without a limit, in requests per second. */
    private static final double DEFAULT_TEAM_WEIGHT = 10;

    private final FleetView view;
    private final GatewayMetrics metrics;
    private final MonotonicClock clock;
    private final EventLoop loop;
    private final EntryAdmission<PendingRequest> admission;
    private boolean drainScheduled;

    RequestCapacity(
            FleetView view, GatewayMetrics metrics, MonotonicClock clock, EventLoop loop, RandomGenerator random) {
        this.view = view;
        this.metrics = metrics;
        this.clock = clock;
        this.loop = loop;
        this.admission = new EntryAdmission<>(clock.nowNanos(), LEAF_CALL_COST, random);
    }

    /** A request, compared by identity. */
    private static final class PendingRequest {
        private final Runnable start;
        private final Consumer<Duration> refuse;

        PendingRequest(Runnable start, Consumer<Duration> refuse) {
            this.start = start;
            this.refuse = refuse;
        }
    }

    /**
     * Starts a request at once, queues it until there is capacity, or refuses it.
     *
     * @param leafCalls the number of leaves that the request calls
     * @param refuse receives the Retry-After time
     * @return a task that withdraws the request if its caller leaves; empty if it was not queued
     */
    Optional<Runnable> admit(RoutedCall call, int leafCalls, Runnable start, Consumer<Duration> refuse) {
        long nowNanos = clock.nowNanos();
        PendingRequest pending = new PendingRequest(start, refuse);
        QueuedRequest<PendingRequest> queued = new QueuedRequest<>(
                pending,
                call.priority(),
                call.caller().teamName(),
                call.caller()
                        .team()
                        .map(Team::limit)
                        .filter(limit -> !limit.isUnlimited())
                        .map(RateLimit::perSecond)
                        .orElse(DEFAULT_TEAM_WEIGHT),
                leafCalls,
                view.latency(call.route()).medianNanos(),
                call.times().goalNanos(),
                call.times().deadlineNanos());
        execute(admission.offer(queued, lagNanos(nowNanos), nowNanos));
        if (!admission.isQueued(pending)) {
            return Optional.empty();
        }
        metrics.recordQueuedRequest();
        scheduleDrain();
        return Optional.of(() -> admission.withdraw(pending));
    }

    /** Returns the state of the queue as text for a log line. */
    String describe() {
        return "waiting=" + admission.queuedCount() + " lagMillis="
                + TimeUnit.NANOSECONDS.toMillis(lagNanos(clock.nowNanos())) + " turnMillis="
                + admission.startInterval().toMillis();
    }

    private void scheduleDrain() {
        if (!drainScheduled) {
            drainScheduled = true;
            loop.schedule(this::drain, LagSamplingPeriod.BUSY_PERIOD.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private void drain() {
        drainScheduled = false;
        long nowNanos = clock.nowNanos();
        execute(admission.drain(lagNanos(nowNanos), nowNanos));
        if (admission.queuedCount() > 0) {
            scheduleDrain();
        }
    }

    private long lagNanos(long nowNanos) {
        return view.routing().eventLoopLag().lagNanos(nowNanos);
    }

    private static void execute(List<AdmissionAction<PendingRequest>> actions) {
        for (AdmissionAction<PendingRequest> action : actions) {
            if (action instanceof AdmissionAction.Start<PendingRequest> start) {
                start.request().start.run();
            } else if (action instanceof AdmissionAction.Refuse<PendingRequest> refuse) {
                refuse.request().refuse.accept(refuse.retryAfter());
            }
        }
    }
}
