package org.bramblerack.daemon.holder;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.bramblerack.connection.LimiterAction;
import org.bramblerack.connection.ReplicaLimiter;
import org.bramblerack.daemon.peer.Workers;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.harm.LeafEndDetector;
import org.bramblerack.request.LeafFailure;
import org.bramblerack.request.LeafOutcome;
import org.bramblerack.request.LeafRequest;
import org.bramblerack.version.Upstream;

/**
 * An upstream whose connections this host holds: its queue and its calls in flight.
 *
 * <p>Invariant: every submitted call is completed exactly once. Safe for use by many threads. Lock order: this object's
 * lock is acquired after the query's; completions run on a worker without it.
 */
final class HeldUpstream {
    private static final Logger LOGGER = System.getLogger(HeldUpstream.class.getName());

    private final Upstream upstream;
    private final UpstreamProtocol protocol;
    private final Workers workers;
    private final MonotonicClock clock;
    private final ReentrantLock lock = new ReentrantLock();
    private final ReplicaLimiter limiter;
    private final UpstreamHarm harm;
    private final LeafEndDetector<LeafRequest> endDetector = new LeafEndDetector<>();
    private final Map<String, Call> calls = new HashMap<>();
    private boolean closed;

    HeldUpstream(
            Upstream upstream,
            int slots,
            UpstreamProtocol protocol,
            Workers workers,
            MonotonicClock clock,
            UpstreamHarm harm) {
        this.upstream = upstream;
        this.protocol = protocol;
        this.workers = workers;
        this.clock = clock;
        this.harm = harm;
        this.limiter = new ReplicaLimiter(slots);
    }

    Upstream upstream() {
        return upstream;
    }

    UpstreamProtocol protocol() {
        return protocol;
    }

    void submit(LeafRequest request, Consumer<LeafOutcome> onOutcome) {
        lock.lock();
        try {
            if (closed) {
                workers.run(() -> onOutcome.accept(new LeafOutcome.Failed(LeafFailure.HOLDER_UNREACHABLE)));
                return;
            }
            calls.put(request.callId(), new Call(request, onOutcome));
            execute(limiter.submit(request.callId(), request.priority(), request.deadlineNanos(), clock.nowNanos()));
        } finally {
            lock.unlock();
        }
    }

    void cancel(String callId) {
        lock.lock();
        try {
            execute(limiter.cancel(callId));
        } finally {
            lock.unlock();
        }
    }

    void setSlots(int slots) {
        lock.lock();
        try {
            limiter.setSlots(slots);
        } finally {
            lock.unlock();
        }
    }

    int inFlight() {
        lock.lock();
        try {
            return limiter.running() + limiter.waiting();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Closes the connections if no call is queued or in flight, and returns whether it has. Calls that are submitted
     * later fail as not run.
     */
    boolean closeIfIdle() {
        lock.lock();
        try {
            closed |= limiter.running() + limiter.waiting() == 0;
            if (closed) {
                protocol.close();
            }
            return closed;
        } finally {
            lock.unlock();
        }
    }

    private void execute(List<LimiterAction> actions) {
        for (LimiterAction action : actions) {
            if (action instanceof LimiterAction.Dispatch dispatch) {
                dispatch(dispatch.callId());
            } else if (action instanceof LimiterAction.Refuse refuse) {
                complete(refuse.callId(), new LeafOutcome.Failed(refuse.failure()));
            } else if (action instanceof LimiterAction.CancelAtUpstream cancel) {
                protocol.cancel(cancel.callId());
            }
        }
    }

    private void dispatch(String callId) {
        Call call = calls.get(callId);
        if (call == null) {
            return;
        }
        if (!harm.maySend(call.request())) {
            workers.run(() -> onCallEnded(callId, new LeafOutcome.Failed(LeafFailure.HARMFUL)));
            return;
        }
        endDetector.onSent(call.request());
        Duration remaining = Duration.ofNanos(Math.max(1, call.request().deadlineNanos() - clock.nowNanos()));
        protocol.call(call.request(), remaining)
                .subscribe()
                .with(
                        outcome -> workers.run(() -> onCallEnded(callId, outcome)),
                        failure -> workers.run(
                                () -> onCallEnded(callId, new LeafOutcome.Failed(LeafFailure.CONNECTION_LOST))));
    }

    private void onCallEnded(String callId, LeafOutcome outcome) {
        lock.lock();
        try {
            recordCallEnd(callId, outcome);
            complete(callId, outcome);
            boolean overloaded =
                    outcome instanceof LeafOutcome.Failed failed && failed.failure() == LeafFailure.OVERLOADED;
            long nowNanos = clock.nowNanos();
            execute(overloaded ? limiter.onShed(callId, nowNanos) : limiter.onFinished(callId, nowNanos));
        } finally {
            lock.unlock();
        }
    }

    /**
     * Records the end of a call. A lost connection counts as evidence against the request only if the upstream process
     * has ended, so the first one starts a connection probe.
     */
    private void recordCallEnd(String callId, LeafOutcome outcome) {
        Call call = calls.get(callId);
        if (call == null) {
            return;
        }
        boolean disconnected =
                outcome instanceof LeafOutcome.Failed failed && failed.failure() == LeafFailure.CONNECTION_LOST;
        if (!disconnected) {
            endDetector.onAnswered(call.request());
            if (outcome instanceof LeafOutcome.Replied) {
                harm.recordSurvival(call.request());
            }
            return;
        }
        boolean probePending = endDetector.isEndSuspected();
        long nowNanos = clock.nowNanos();
        endDetector.onDisconnected(call.request(), nowNanos);
        if (!probePending) {
            protocol.acceptsConnections()
                    .subscribe()
                    .with(
                            accepts -> workers.run(() -> onProbeResult(accepts, nowNanos)),
                            failure -> LOGGER.log(
                                    Logger.Level.DEBUG,
                                    "connection probe of upstream {0} failed: {1}",
                                    upstream.name(),
                                    failure.getMessage()));
        }
    }

    private void onProbeResult(boolean acceptsConnections, long probeStartNanos) {
        List<LeafRequest> callsInFlight = List.of();
        lock.lock();
        try {
            if (acceptsConnections) {
                endDetector.onConnected(probeStartNanos);
            } else {
                callsInFlight = endDetector.onConnectFailed(clock.nowNanos());
            }
        } finally {
            lock.unlock();
        }
        if (!callsInFlight.isEmpty()) {
            harm.recordUpstreamEnd(upstream.name(), callsInFlight);
        }
    }

    private void complete(String callId, LeafOutcome outcome) {
        Call call = calls.remove(callId);
        if (call != null) {
            workers.run(() -> call.onOutcome().accept(outcome));
        }
    }

    private record Call(LeafRequest request, Consumer<LeafOutcome> onOutcome) {}
}
