package org.bramblerack.daemon.gateway;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.bramblerack.daemon.event.EventLog;
import org.bramblerack.daemon.leaf.LeafAnswer;
import org.bramblerack.daemon.leaf.LeafCallback;
import org.bramblerack.daemon.leaf.LeafConnections;
import org.bramblerack.daemon.leaf.LeafRequest;
import org.bramblerack.process.LatencyTracker;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.leaf.Leaf;
import org.bramblerack.process.leaf.LeafLoad;
import org.bramblerack.process.leaf.LeafOutcome;
import org.bramblerack.request.routed.Attempt;
import org.jspecify.annotations.Nullable;

/**
 * Sends the attempts of one request and abandons those that are no longer needed.
 *
 * <p>Abandoning a call closes its connection, on which the leaf drops the call; a new connection is opened on demand.
 * Calls whose caller has gone may still finish within a short time. Owned by the event loop.
 */
final class LeafSender {
    private static final EventLog EVENTS = EventLog.of(LeafSender.class);
    /** How long a call may continue after its caller has gone. */
    private static final Duration CALLER_GONE_LINGER = Duration.ofMillis(300);

    private final LeafRequest request;
    private final long leafDeadlineNanos;
    private final long expectedNanos;
    private final LatencyTracker latency;
    private final LeafPath path;
    private final MonotonicClock clock;
    private final EventLoop loop;
    private final Map<Attempt, PendingCall> pending = new HashMap<>();
    private @Nullable ScheduledFuture<?> wake;

    LeafSender(
            LeafRequest request,
            long leafDeadlineNanos,
            long expectedNanos,
            LatencyTracker latency,
            LeafPath path,
            MonotonicClock clock,
            EventLoop loop) {
        this.request = request;
        this.leafDeadlineNanos = leafDeadlineNanos;
        this.expectedNanos = expectedNanos;
        this.latency = latency;
        this.path = path;
        this.clock = clock;
        this.loop = loop;
    }

    /** Receives the results of attempts. */
    interface Listener {
        /** Handles a complete answer, which may report a failure of the leaf. */
        void onAnswer(Attempt attempt, LeafAnswer answer);

        /** Handles the failure of an attempt without an answer. */
        void onFailure(Attempt attempt, LeafOutcome outcome);
    }

    /** Sends an attempt to its leaf and reports the result to the listener. */
    void send(Attempt attempt, Listener listener) {
        Leaf leaf = attempt.leaf();
        Leaf.Call call = leaf.begin(expectedNanos, clock.nowNanos());
        LeafCallback callback = new LeafCallback() {
            @Override
            public void onAnswer(LeafAnswer answer) {
                long nowNanos = clock.nowNanos();
                pending.remove(attempt);
                endCall(leaf, call, answer.outcome(), answer.load(), nowNanos);
                if (answer.outcome() == LeafOutcome.SUCCEEDED) {
                    latency.record(nowNanos - call.sentNanos(), nowNanos);
                }
                listener.onAnswer(attempt, answer);
            }

            @Override
            public void onFailure(LeafOutcome outcome) {
                pending.remove(attempt);
                if (!leaf.isUnderWay(call)) {
                    // This host abandoned the call and closed the connection itself.
                    return;
                }
                endCall(leaf, call, outcome, Optional.empty(), clock.nowNanos());
                listener.onFailure(attempt, outcome);
            }
        };
        LeafConnections.CallHandle handle = path.send(leaf, request, leafDeadlineNanos, callback);
        if (leaf.isUnderWay(call)) {
            pending.put(attempt, new PendingCall(handle, call));
        }
    }

    /** Records that the answer of an attempt, which has ended, turned out to be a failure of its leaf. */
    void recordLeafFailure(Attempt attempt) {
        Leaf leaf = attempt.leaf();
        long nowNanos = clock.nowNanos();
        logEjection(leaf, LeafOutcome.FAILED, nowNanos, () -> leaf.recordFailure(nowNanos));
    }

    private void endCall(Leaf leaf, Leaf.Call call, LeafOutcome outcome, Optional<LeafLoad> load, long nowNanos) {
        logEjection(leaf, outcome, nowNanos, () -> leaf.end(call, outcome, load, nowNanos));
    }

    /** Records a result at a leaf, and logs it if the leaf was ejected or restored by it. */
    private void logEjection(Leaf leaf, LeafOutcome outcome, long nowNanos, Runnable recording) {
        boolean ejectedBefore = leaf.isEjected(nowNanos);
        recording.run();
        boolean ejected = leaf.isEjected(nowNanos);
        if (ejected != ejectedBefore) {
            EVENTS.info(ejected ? "leaf_ejected" : "leaf_restored")
                    .with("leaf", leaf.id())
                    .with("service", leaf.service())
                    .with("outcome", outcome.name())
                    .with("request", request.requestId())
                    .write();
        }
    }

    /** Abandons an attempt; its listener is not called any more. */
    void abandon(Attempt attempt) {
        PendingCall pendingCall = pending.remove(attempt);
        if (pendingCall != null) {
            attempt.leaf().abandon(pendingCall.call(), clock.nowNanos());
            if (pendingCall.handle().abandon()) {
                attempt.markNeverSent();
            }
        }
    }

    /** Schedules a task, which replaces the one scheduled before. */
    void wakeAt(long atNanos, Runnable task) {
        cancelWake();
        long delayNanos = Math.max(0, atNanos - clock.nowNanos());
        wake = loop.schedule(task, delayNanos, TimeUnit.NANOSECONDS);
    }

    /** Records that the request has been answered and cancels the scheduled task. */
    void finish() {
        cancelWake();
    }

    /**
     * Records that the caller has gone. Calls that were not sent are abandoned, the others after a short time, within
     * which most of them end and leave their connections open.
     */
    void callerGone() {
        cancelWake();
        List.copyOf(pending.entrySet()).forEach(entry -> abandonUnsent(entry.getKey(), entry.getValue()));
        if (!pending.isEmpty()) {
            loop.schedule(this::abandonAll, CALLER_GONE_LINGER.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private void abandonUnsent(Attempt attempt, PendingCall pendingCall) {
        if (pendingCall.handle().isSent()) {
            pendingCall.handle().withdraw();
        } else {
            abandon(attempt);
        }
    }

    private void abandonAll() {
        List.copyOf(pending.keySet()).forEach(this::abandon);
    }

    private void cancelWake() {
        if (wake != null) {
            wake.cancel(false);
            wake = null;
        }
    }

    /** A call that was sent or waits for a connection. */
    private record PendingCall(LeafConnections.CallHandle handle, Leaf.Call call) {}
}
