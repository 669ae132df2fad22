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
 * Sends the attempts of one request and gives up those that nobody waits for any more.
 *
 * <p>A call that is given up loses its connection: the leaf drops the call, which costs it less than to work on, and
 * another connection is made when one is needed. Calls of a caller that went away are given a moment to finish. Owned
 * by the event loop.
 */
final class LeafSender {
    private static final EventLog EVENTS = EventLog.of(LeafSender.class);
    /** How long a call may go on after its caller went away: leafs should not work for nobody. */
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

    /** Takes what came of an attempt. */
    interface Listener {
        /** Takes a whole answer, which may be a failure of the leaf. */
        void onAnswer(Attempt attempt, LeafAnswer answer);

        /** Takes the failure of an attempt without an answer. */
        void onFailure(Attempt attempt, LeafOutcome outcome);
    }

    /** Sends an attempt. */
    void send(Attempt attempt, Listener listener) {
        Leaf leaf = attempt.leaf();
        Leaf.Call call = leaf.begin(expectedNanos, clock.nowNanos());
        LeafCallback exchange = new LeafCallback() {
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
                    // This host gave it up, and closed the connection itself.
                    return;
                }
                endCall(leaf, call, outcome, Optional.empty(), clock.nowNanos());
                listener.onFailure(attempt, outcome);
            }
        };
        LeafConnections.CallHandle ticket = path.send(leaf, request, leafDeadlineNanos, exchange);
        if (leaf.isUnderWay(call)) {
            pending.put(attempt, new PendingCall(ticket, call));
        }
    }

    /** Notes what came of a call; a leaf that is set aside for it, or no longer, leaves a line. */
    private void endCall(Leaf leaf, Leaf.Call call, LeafOutcome outcome, Optional<LeafLoad> load, long nowNanos) {
        boolean ejectedBefore = leaf.isEjected(nowNanos);
        leaf.end(call, outcome, load, nowNanos);
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

    /** Gives up an attempt; its taker hears nothing of it that matters any more. */
    void abandon(Attempt attempt) {
        PendingCall sent = pending.remove(attempt);
        if (sent != null) {
            attempt.leaf().abandon(sent.call(), clock.nowNanos());
            if (sent.ticket().abandon()) {
                attempt.markNeverSent();
            }
        }
    }

    /** Runs a task at a time, in place of the one that was set before. */
    void wakeAt(long atNanos, Runnable task) {
        cancelWake();
        long delayNanos = Math.max(0, atNanos - clock.nowNanos());
        wake = loop.schedule(task, delayNanos, TimeUnit.NANOSECONDS);
    }

    /** Notes that the request has been answered. */
    void finish() {
        cancelWake();
    }

    /** Notes that the caller went away. */
    void callerGone() {
        cancelWake();
        if (!pending.isEmpty()) {
            loop.schedule(this::abandonAll, CALLER_GONE_LINGER.toNanos(), TimeUnit.NANOSECONDS);
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

    /** A call that was sent, or waits for a connection. */
    private record PendingCall(LeafConnections.CallHandle ticket, Leaf.Call call) {}
}
