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

/** Begins requests as this host has room for them. Owned by the event loop. */
final class RequestCapacity {
    /** What a leaf call takes of a host with a third of a core. */
    private static final Duration CALL_COST = Duration.ofNanos(300_000);
    /** What a team without a limit weighs: a few requests a second. */
    private static final double USUAL_WEIGHT = 10;

    private final FleetView view;
    private final GatewayMetrics metrics;
    private final MonotonicClock clock;
    private final EventLoop loop;
    private final EntryAdmission<Held> room;
    private boolean looking;

    RequestCapacity(
            FleetView view, GatewayMetrics metrics, MonotonicClock clock, EventLoop loop, RandomGenerator random) {
        this.view = view;
        this.metrics = metrics;
        this.clock = clock;
        this.loop = loop;
        this.room = new EntryAdmission<>(clock.nowNanos(), CALL_COST, random);
    }

    /** A request, told from others by identity. */
    private static final class Held {
        private final Runnable start;
        private final Consumer<Duration> refuse;

        Held(Runnable start, Consumer<Duration> refuse) {
            this.start = start;
            this.refuse = refuse;
        }
    }

    /**
     * Begins a request, now or when there is room for it, or refuses it.
     *
     * @param calls how many leafs it asks
     * @param refuse takes when its caller may come back
     * @return what to call if its caller goes away while it waits, if it does
     */
    Optional<Runnable> admit(RoutedCall call, int calls, Runnable start, Consumer<Duration> refuse) {
        long nowNanos = clock.nowNanos();
        Held held = new Held(start, refuse);
        QueuedRequest<Held> applicant = new QueuedRequest<>(
                held,
                call.priority(),
                call.caller().teamName(),
                call.caller()
                        .team()
                        .map(Team::limit)
                        .filter(limit -> !limit.isUnlimited())
                        .map(RateLimit::perSecond)
                        .orElse(USUAL_WEIGHT),
                calls,
                view.latency(call.route()).medianNanos(),
                call.times().goalNanos(),
                call.times().deadlineNanos());
        carryOut(room.offer(applicant, lagNanos(nowNanos), nowNanos));
        if (!room.isQueued(held)) {
            return Optional.empty();
        }
        metrics.recordQueuedRequest();
        lookLater();
        return Optional.of(() -> room.withdraw(held));
    }

    /** Returns how the room stands, for a log line. */
    String describe() {
        return "waiting=" + room.queuedCount() + " lagMillis="
                + TimeUnit.NANOSECONDS.toMillis(lagNanos(clock.nowNanos())) + " turnMillis="
                + room.startInterval().toMillis();
    }

    private void lookLater() {
        if (!looking) {
            looking = true;
            loop.schedule(this::look, LagSamplingPeriod.BUSY_PERIOD.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private void look() {
        looking = false;
        long nowNanos = clock.nowNanos();
        carryOut(room.drain(lagNanos(nowNanos), nowNanos));
        if (room.queuedCount() > 0) {
            lookLater();
        }
    }

    private long lagNanos(long nowNanos) {
        return view.routing().eventLoopLag().lagNanos(nowNanos);
    }

    private static void carryOut(List<AdmissionAction<Held>> actions) {
        for (AdmissionAction<Held> action : actions) {
            if (action instanceof AdmissionAction.Start<Held> start) {
                start.request().start.run();
            } else if (action instanceof AdmissionAction.Refuse<Held> refuse) {
                refuse.request().refuse.accept(refuse.retryAfter());
            }
        }
    }
}
