package org.bramblerack.daemon.gateway;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.bramblerack.daemon.leaf.LeafAnswer;
import org.bramblerack.daemon.leaf.LeafCallback;
import org.bramblerack.daemon.leaf.LeafConnections;
import org.bramblerack.daemon.leaf.LeafRequest;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.leaf.Leaf;
import org.bramblerack.process.leaf.LeafOutcome;
import org.bramblerack.wire.Envelope;
import org.bramblerack.wire.StageCall;
import org.bramblerack.wire.StageResult;

/**
 * Calls single leaves on behalf of other hosts, over connections that this host holds.
 *
 * <p>Invariant: a call goes to the leaf that it names, or to none. The calling host decides whether to call another
 * leaf, and charges that to its budget. Owned by the event loop.
 */
final class HeldLeafCalls {
    private final FleetView view;
    private final MonotonicClock clock;

    HeldLeafCalls(FleetView view, MonotonicClock clock) {
        this.view = view;
        this.clock = clock;
    }

    /**
     * Sends a call to the leaf that it names and replies with the result.
     *
     * @param arrivedNanos when the call arrived on this host, from which its time limit counts
     * @return the call; empty if it was replied to already
     */
    Optional<StageCalls.Call> call(
            StageCall call, long arrivedNanos, LeafRequest request, Consumer<Envelope.Builder> reply) {
        Optional<Leaf> leaf = view.leaf(call.getLeaf()).filter(Leaf::acceptsWork);
        if (leaf.isEmpty()) {
            // The tables of this host may be outdated: an unknown leaf is not evidence that the leaf has ended.
            reply.accept(failure(LeafOutcome.NO_CONNECTION));
            return Optional.empty();
        }
        long nowNanos = clock.nowNanos();
        long deadlineNanos = arrivedNanos + TimeUnit.MICROSECONDS.toNanos(call.getDeadlineMicros());
        if (nowNanos - deadlineNanos >= 0) {
            reply.accept(failure(LeafOutcome.NO_CONNECTION));
            return Optional.empty();
        }
        long expectedNanos = view.configuration()
                .routeNamed(call.getRoute())
                .map(route -> view.latency(route).medianNanos())
                .orElse(TimeUnit.MICROSECONDS.toNanos(call.getHedgeDelayMicros()));
        Leaf.Call leafCall = leaf.get().begin(expectedNanos, nowNanos);
        Exchange exchange = new Exchange(leaf.get(), leafCall, call.getWholeAnswer(), reply);
        exchange.handle = Optional.of(view.connectionsTo(leaf.get()).send(request, deadlineNanos, exchange));
        return leaf.get().isUnderWay(leafCall) ? Optional.of(exchange) : Optional.empty();
    }

    private static Envelope.Builder failure(LeafOutcome outcome) {
        boolean rejected = outcome == LeafOutcome.REJECTED;
        return Envelope.newBuilder()
                .setStageResult(StageResult.newBuilder()
                        .setStatus(outcome.isNotRun() ? StageResult.Status.NOT_RUN : StageResult.Status.FAILED)
                        // Hosts of older versions do not know that a call can be rejected.
                        .setLeafOutcome((rejected ? LeafOutcome.FAILED : outcome).name())
                        .setRejected(rejected));
    }

    private static StageResult.Builder wholeAnswer(LeafAnswer answer) {
        StageResult.Builder result = StageResult.newBuilder()
                .setStatus(answer.outcome().isNotRun() ? StageResult.Status.NOT_RUN : StageResult.Status.ANSWERED)
                .setStatusCode(answer.status())
                .setRecords(answer.body());
        answer.headers().forEach(header -> {
            if (!LeafRequest.isHopByHop(header.getKey())) {
                result.addHeaderNames(header.getKey()).addHeaderValues(header.getValue());
            }
        });
        return result;
    }

    /** One call in flight. */
    private final class Exchange implements LeafCallback, StageCalls.Call {
        private final Leaf leaf;
        private final Leaf.Call call;
        private final boolean wholeAnswer;
        private final Consumer<Envelope.Builder> reply;
        private Optional<LeafConnections.CallHandle> handle = Optional.empty();

        Exchange(Leaf leaf, Leaf.Call call, boolean wholeAnswer, Consumer<Envelope.Builder> reply) {
            this.leaf = leaf;
            this.call = call;
            this.wholeAnswer = wholeAnswer;
            this.reply = reply;
        }

        @Override
        public void onAnswer(LeafAnswer answer) {
            leaf.end(call, answer.outcome(), answer.load(), clock.nowNanos());
            if (wholeAnswer) {
                reply.accept(Envelope.newBuilder().setStageResult(wholeAnswer(answer)));
                return;
            }
            if (answer.outcome() != LeafOutcome.SUCCEEDED) {
                reply.accept(failure(answer.outcome()));
                return;
            }
            reply.accept(Envelope.newBuilder()
                    .setStageResult(StageResult.newBuilder()
                            .setStatus(StageResult.Status.ANSWERED)
                            .addSignatures(answer.signature().orElseThrow())
                            .setRecords(answer.body())));
        }

        @Override
        public void onFailure(LeafOutcome outcome) {
            if (leaf.isUnderWay(call)) {
                leaf.end(call, outcome, Optional.empty(), clock.nowNanos());
                reply.accept(failure(outcome));
            }
        }

        @Override
        public void cancel() {
            abandon();
        }

        @Override
        public boolean cancelUnlessSent() {
            boolean isSent = handle.map(LeafConnections.CallHandle::isSent).orElse(true);
            if (!isSent) {
                abandon();
            }
            return !isSent;
        }

        @Override
        public void endNow() {
            if (leaf.isUnderWay(call)) {
                boolean neverSent = abandon();
                reply.accept(failure(neverSent ? LeafOutcome.NO_CONNECTION : LeafOutcome.BROKEN));
            }
        }

        /** Abandons the call, and returns true if it was never sent. */
        private boolean abandon() {
            if (!leaf.isUnderWay(call)) {
                return false;
            }
            leaf.abandon(call, clock.nowNanos());
            return handle.map(LeafConnections.CallHandle::abandon).orElse(false);
        }
    }
}
