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
 * An upstream whose connections this host holds: its queue and the calls in flight.
 *
 * <p>Invariant: every submitted call is completed exactly once. Safe for use by many threads; the lock of the gate
 * comes after the query's, and completions run on a worker without it.
 */
final class HeldUpstream {
    private static final Logger LOGGER = System.getLogger(HeldUpstream.class.getName());

    private final Upstream upstream;
    private final UpstreamProtocol protocol;
    private final Workers workers;
    private final MonotonicClock clock;
    private final ReentrantLock lock = new ReentrantLock();
    private final ReplicaLimiter gate;
    private final UpstreamHarm harm;
    private final LeafEndDetector<LeafRequest> ends = new LeafEndDetector<>();
    private final Map<String, Call> calls = new HashMap<>();

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
        this.gate = new ReplicaLimiter(slots);
    }

    Upstream upstream() {
        return upstream;
    }

    UpstreamProtocol protocol() {
        return protocol;
    }

    void submit(LeafRequest request, Consumer<LeafOutcome> done) {
        lock.lock();
        try {
            calls.put(request.callId(), new Call(request, done));
            carryOut(gate.submit(request.callId(), request.priority(), request.deadlineNanos(), clock.nowNanos()));
        } finally {
            lock.unlock();
        }
    }

    void cancel(String callId) {
        lock.lock();
        try {
            carryOut(gate.cancel(callId));
        } finally {
            lock.unlock();
        }
    }

    void setSlots(int slots) {
        lock.lock();
        try {
            gate.setSlots(slots);
        } finally {
            lock.unlock();
        }
    }

    int inFlight() {
        lock.lock();
        try {
            return gate.running() + gate.waiting();
        } finally {
            lock.unlock();
        }
    }

    private void carryOut(List<LimiterAction> actions) {
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
            workers.run(() -> ended(callId, new LeafOutcome.Failed(LeafFailure.HARMFUL)));
            return;
        }
        ends.onSent(call.request());
        Duration remaining = Duration.ofNanos(Math.max(1, call.request().deadlineNanos() - clock.nowNanos()));
        protocol.call(call.request(), remaining)
                .subscribe()
                .with(
                        outcome -> workers.run(() -> ended(callId, outcome)),
                        failure ->
                                workers.run(() -> ended(callId, new LeafOutcome.Failed(LeafFailure.CONNECTION_LOST))));
    }

    private void ended(String callId, LeafOutcome outcome) {
        lock.lock();
        try {
            noteEnd(callId, outcome);
            complete(callId, outcome);
            boolean shed = outcome instanceof LeafOutcome.Failed failed && failed.failure() == LeafFailure.OVERLOADED;
            long nowNanos = clock.nowNanos();
            carryOut(shed ? gate.onShed(callId, nowNanos) : gate.onFinished(callId, nowNanos));
        } finally {
            lock.unlock();
        }
    }

    /** A call that broke says something of its request only if the upstream has ended. */
    private void noteEnd(String callId, LeafOutcome outcome) {
        Call call = calls.get(callId);
        if (call == null) {
            return;
        }
        boolean broke = outcome instanceof LeafOutcome.Failed failed && failed.failure() == LeafFailure.CONNECTION_LOST;
        if (!broke) {
            ends.onAnswered(call.request());
            if (outcome instanceof LeafOutcome.Replied) {
                harm.survived(call.request());
            }
            return;
        }
        boolean alreadyAsked = ends.isEndSuspected();
        long nowNanos = clock.nowNanos();
        ends.onDisconnected(call.request(), nowNanos);
        if (!alreadyAsked) {
            protocol.takesConnections()
                    .subscribe()
                    .with(
                            takes -> workers.run(() -> found(takes, nowNanos)),
                            failure -> LOGGER.log(
                                    Logger.Level.DEBUG,
                                    "whether {0} has ended was not found out: {1}",
                                    upstream.name(),
                                    failure.getMessage()));
        }
    }

    private void found(boolean takesConnections, long askedNanos) {
        List<LeafRequest> onIt = List.of();
        lock.lock();
        try {
            if (takesConnections) {
                ends.onConnected(askedNanos);
            } else {
                onIt = ends.onConnectFailed(clock.nowNanos());
            }
        } finally {
            lock.unlock();
        }
        if (!onIt.isEmpty()) {
            harm.ended(upstream.name(), onIt);
        }
    }

    private void complete(String callId, LeafOutcome outcome) {
        Call call = calls.remove(callId);
        if (call != null) {
            workers.run(() -> call.done().accept(outcome));
        }
    }

    private record Call(LeafRequest request, Consumer<LeafOutcome> done) {}
}
