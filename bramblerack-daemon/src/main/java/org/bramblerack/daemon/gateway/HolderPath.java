package org.bramblerack.daemon.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.bramblerack.daemon.leaf.CallHeaders;
import org.bramblerack.daemon.leaf.LeafAnswer;
import org.bramblerack.daemon.leaf.LeafCallback;
import org.bramblerack.daemon.leaf.LeafConnections;
import org.bramblerack.daemon.leaf.LeafRequest;
import org.bramblerack.daemon.peer.PeerFailure;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.leaf.Leaf;
import org.bramblerack.process.leaf.LeafOutcome;
import org.bramblerack.version.routing.HomeRegions;
import org.bramblerack.wire.StageCall;
import org.bramblerack.wire.StageResult;

/**
 * Sends the leaf calls of one request through the hosts that hold the connections to the leaves. Uses connections of
 * this host for leaves without holders, and if no holder is available. Owned by the event loop.
 */
final class HolderPath implements LeafPath {
    private final StageCall query;
    private final FleetView view;
    private final StageLinks links;
    private final HomeRegions homes;
    private final CallHeaders names;
    private final MonotonicClock clock;

    /**
     * Creates the path of one request.
     *
     * @param query the template of the calls to other hosts; leaf and deadline are added for each call
     */
    HolderPath(StageCall query, FleetView view, StageLinks links, CallHeaders names, MonotonicClock clock) {
        this.query = query;
        this.view = view;
        this.links = links;
        this.homes = HomeRegions.of(query.getHomeRegionsList());
        this.names = names;
        this.clock = clock;
    }

    @Override
    public LeafConnections.CallHandle send(Leaf leaf, LeafRequest request, long deadlineNanos, LeafCallback callback) {
        Optional<StageLinks.Link> holder =
                links.firstUsable(view.holdersOf(leaf), leaf.id(), homes, query.getPassedOverList());
        if (holder.isEmpty()) {
            return view.connectionsTo(leaf).send(request, deadlineNanos, callback);
        }
        HolderCall call = new HolderCall(holder.get(), leaf.id(), request, callback);
        call.send(deadlineNanos);
        return call;
    }

    /** One call through one holder. */
    private final class HolderCall implements LeafConnections.CallHandle {
        private final StageLinks.Link holder;
        private final String leafId;
        private final LeafRequest request;
        private final LeafCallback callback;
        private final long number = links.nextCallNumber();
        private boolean ended;
        private boolean messageCreated;

        HolderCall(StageLinks.Link holder, String leafId, LeafRequest request, LeafCallback callback) {
            this.holder = holder;
            this.leafId = leafId;
            this.request = request;
            this.callback = callback;
        }

        void send(long deadlineNanos) {
            long remainingNanos = Math.max(1, deadlineNanos - clock.nowNanos());
            holder.onCallStarted();
            links.callStage(
                            holder,
                            homes,
                            () -> message(deadlineNanos),
                            Duration.ofNanos(remainingNanos),
                            progress -> {})
                    .subscribe()
                    .with(reply -> onResult(reply.getStageResult()), this::onFailure);
        }

        private StageCall.Builder message(long deadlineNanos) {
            messageCreated = true;
            // An abandoned call may have been reported as not sent: without remaining time the holder does not send it
            // to a leaf.
            long remainingNanos = ended ? 0 : deadlineNanos - clock.nowNanos() - holder.roundTripNanos() / 2;
            return query.toBuilder()
                    .clearShards()
                    .setLeaf(leafId)
                    .setCall(number)
                    .setDeadlineMicros(TimeUnit.NANOSECONDS.toMicros(remainingNanos));
        }

        @Override
        public boolean abandon() {
            if (ended) {
                return false;
            }
            ended = true;
            holder.onCallEnded();
            links.cancel(holder, number);
            return !messageCreated;
        }

        @Override
        public boolean isSent() {
            return messageCreated;
        }

        @Override
        public void withdraw() {
            if (!ended) {
                links.withdraw(holder, number);
            }
        }

        private void onResult(StageResult result) {
            if (ended) {
                return;
            }
            ended = true;
            holder.onCallEnded();
            holder.recordLag(result.getLagMicros(), clock.nowNanos());
            if (result.getStatusCode() > 0) {
                LeafAnswer answer = LeafAnswer.of(
                        result.getStatusCode(), headers(result), result.getRecords(), request.answerKind(), names);
                if (answer.showsSurvival()) {
                    recordSurvival();
                }
                callback.onAnswer(answer);
            } else if (result.getStatus() == StageResult.Status.ANSWERED && result.getSignaturesCount() == 1) {
                recordSurvival();
                callback.onAnswer(LeafAnswer.part(result.getSignatures(0), result.getRecords()));
            } else {
                LeafOutcome outcome = outcomeOf(result);
                if (!outcome.isSent() && outcome != LeafOutcome.BARRED) {
                    holder.recordUnreachable(leafId, clock.nowNanos());
                }
                callback.onFailure(outcome);
            }
        }

        private void recordSurvival() {
            view.harmFilter().recordSurvival(request.fingerprints(), clock.nowNanos());
        }

        private void onFailure(Throwable failure) {
            if (ended) {
                return;
            }
            ended = true;
            holder.onCallEnded();
            holder.suspect(clock.nowNanos());
            boolean notSent = failure instanceof PeerFailure peer && peer.kind() == PeerFailure.Kind.NOT_SENT;
            callback.onFailure(notSent ? LeafOutcome.NO_CONNECTION : LeafOutcome.BROKEN);
        }

        private HttpHeaders headers(StageResult result) {
            HttpHeaders headers = new DefaultHttpHeaders();
            int count = Math.min(result.getHeaderNamesCount(), result.getHeaderValuesCount());
            for (int position = 0; position < count; position++) {
                headers.add(result.getHeaderNames(position), result.getHeaderValues(position));
            }
            return headers;
        }

        /**
         * Returns the outcome of the call at the leaf. An unknown outcome, sent by a newer version of the program,
         * counts as a failure that may have run unless the status says that it has not.
         */
        private LeafOutcome outcomeOf(StageResult result) {
            if (result.getRejected()) {
                return LeafOutcome.REJECTED;
            }
            for (LeafOutcome outcome : LeafOutcome.values()) {
                if (outcome.name().equals(result.getLeafOutcome()) && outcome != LeafOutcome.SUCCEEDED) {
                    return outcome;
                }
            }
            return result.getStatus() == StageResult.Status.NOT_RUN ? LeafOutcome.NO_CONNECTION : LeafOutcome.BROKEN;
        }
    }
}
