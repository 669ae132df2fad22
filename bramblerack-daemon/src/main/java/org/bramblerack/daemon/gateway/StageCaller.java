package org.bramblerack.daemon.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Lists;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.bramblerack.daemon.peer.PeerFailure;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.request.routed.RoutedAction;
import org.bramblerack.request.routed.StageAttempt;
import org.bramblerack.request.routed.StageReply;
import org.bramblerack.request.routed.StageTiming;
import org.bramblerack.version.routing.HomeRegions;
import org.bramblerack.wire.StageCall;
import org.bramblerack.wire.StageGrant;
import org.bramblerack.wire.StageProgress;
import org.bramblerack.wire.StageResult;

/** Delegates shards of one query to other hosts. Owned by the event loop. */
final class StageCaller {
    /** Time for a host to write, and for this host to read, the final reply of a call without an answer. */
    private static final long FINAL_REPLY_SLACK_NANOS = Duration.ofMillis(5).toNanos();

    private final StageCall call;
    private final ImmutableList<String> shardServices;
    private final RequestTimes times;
    private final StageLinks links;
    private final HomeRegions homes;
    private final MonotonicClock clock;
    private final GatewayMetrics metrics;
    private final Runnable onSurvival;
    private final Map<StageAttempt, PendingCall> pending = new HashMap<>();

    /**
     * Creates a caller for one query.
     *
     * @param call the template of the calls to other hosts; shards and time limits are added for each
     * @param shardServices the services that are the shards of the query, in their order
     * @param onSurvival runs when leaves called by another host have answered the query
     */
    StageCaller(
            StageCall call,
            ImmutableList<String> shardServices,
            RequestTimes times,
            StageLinks links,
            MonotonicClock clock,
            GatewayMetrics metrics,
            Runnable onSurvival) {
        this.call = call;
        this.shardServices = shardServices;
        this.times = times;
        this.links = links;
        this.homes = HomeRegions.of(call.getHomeRegionsList());
        this.clock = clock;
        this.metrics = metrics;
        this.onSurvival = onSurvival;
    }

    /** Returns the template of the calls to other hosts. */
    StageCall query() {
        return call;
    }

    /** Receives the events of stages. */
    interface Listener {
        /** Handles a progress report of a host, with the shards at which it called a second leaf. */
        void onProgress(StageAttempt stage, List<Integer> hedgedShards);

        /** Handles the request of a host for one more attempt at each of some shards. */
        void onAttemptsRequested(StageAttempt stage, List<Integer> shards);

        /** Handles a partial result. */
        void onPartial(StageAttempt stage, StageReply partial);

        /** Handles the final reply. */
        void onReply(StageAttempt stage, StageReply reply);

        /** Handles a failure; {@code notRun} is true if no leaf was called. */
        void onFailure(StageAttempt stage, boolean notRun);
    }

    void call(StageAttempt stage, Listener listener) {
        StageLinks.Link link = links.link(stage.host());
        PendingCall pendingCall = new PendingCall(link, links.nextCallNumber());
        pending.put(stage, pendingCall);
        Duration wait = Duration.ofNanos(Math.max(1, times.deadlineNanos() - clock.nowNanos()));
        link.onCallStarted();
        links.callStage(
                        link,
                        homes,
                        () -> message(stage, pendingCall),
                        wait,
                        progress -> onProgress(stage, progress.getStageProgress(), listener))
                .subscribe()
                .with(reply -> onResult(stage, link, reply.getStageResult(), listener), failure -> {
                    endCall(stage, link, false);
                    if (!pendingCall.abandoned) {
                        link.suspect(clock.nowNanos());
                    }
                    boolean notSent = failure instanceof PeerFailure peer && peer.kind() == PeerFailure.Kind.NOT_SENT;
                    listener.onFailure(stage, notSent);
                });
    }

    private StageCall.Builder message(StageAttempt stage, PendingCall pendingCall) {
        pendingCall.messageCreated = true;
        if (pendingCall.abandoned) {
            // The query may have been reported as not run: a call without shards is refused.
            return call.toBuilder().clearShards().clearServices().setCall(pendingCall.number);
        }
        long nowNanos = clock.nowNanos();
        long roundTripNanos = pendingCall.link.roundTripNanos();
        long goalNanos = StageTiming.remoteGoalNanos(times.goalNanos() - nowNanos, roundTripNanos);
        // The final reply, which may report that nothing was sent, must arrive before the caller is answered.
        long deadlineNanos = times.deadlineNanos() - nowNanos - roundTripNanos - FINAL_REPLY_SLACK_NANOS;
        return call.toBuilder()
                .addAllShards(stage.shards())
                .addAllServices(Lists.transform(stage.shards(), shardServices::get))
                .addAllPassedOver(links.skippedHosts())
                .setCall(pendingCall.number)
                .setGoalMicros(TimeUnit.NANOSECONDS.toMicros(goalNanos))
                .setDeadlineMicros(TimeUnit.NANOSECONDS.toMicros(deadlineNanos));
    }

    /** Replies to the request of a host for attempts, unless its call has ended. */
    void answerAttemptRequest(RoutedAction.AnswerAttemptRequest answer) {
        PendingCall pendingCall = pending.get(answer.stage());
        if (pendingCall != null) {
            links.answerAttemptRequest(
                    pendingCall.link,
                    StageGrant.newBuilder()
                            .setCall(pendingCall.number)
                            .addAllGranted(answer.granted())
                            .addAllDenied(answer.denied()));
        }
    }

    /** Avoids for a while a host that has been silent for too long; its reply still counts if it comes. */
    void suspect(StageAttempt stage) {
        links.link(stage.host()).suspect(clock.nowNanos());
    }

    /**
     * Notifies the host of a stage that its reply is no longer needed.
     *
     * @return true if the call was never sent, and will not be
     */
    boolean abandon(StageAttempt stage) {
        PendingCall pendingCall = pending.get(stage);
        if (pendingCall == null) {
            return false;
        }
        pendingCall.abandoned = true;
        links.cancel(pendingCall.link, pendingCall.number);
        return !pendingCall.messageCreated;
    }

    private void onProgress(StageAttempt stage, StageProgress progress, Listener listener) {
        links.link(stage.host()).recordLag(progress.getLagMicros(), clock.nowNanos());
        listener.onProgress(stage, progress.getAskedTwiceList());
        if (progress.getWantedAttemptsCount() > 0) {
            listener.onAttemptsRequested(stage, progress.getWantedAttemptsList());
        }
        boolean matches = progress.getShardsCount() == progress.getSignaturesCount();
        if (progress.getShardsCount() > 0 && matches) {
            onSurvival.run();
            listener.onPartial(
                    stage,
                    toReply(
                            progress.getShardsList(),
                            progress.getSignaturesList(),
                            List.of(),
                            List.of(),
                            progress.getRecords()));
        }
    }

    private void onResult(StageAttempt stage, StageLinks.Link link, StageResult result, Listener listener) {
        boolean answered = result.getStatus() == StageResult.Status.ANSWERED
                && result.getShardsCount() == result.getSignaturesCount();
        link.recordLag(result.getLagMicros(), clock.nowNanos());
        endCall(stage, link, answered);
        if (answered && result.getShardsCount() > 0) {
            onSurvival.run();
        }
        if (answered) {
            listener.onReply(
                    stage,
                    toReply(
                            result.getShardsList(),
                            result.getSignaturesList(),
                            result.getNotSentList(),
                            result.getUnusedAttemptsList(),
                            result.getRecords()));
        } else {
            listener.onFailure(stage, result.getStatus() == StageResult.Status.NOT_RUN);
        }
    }

    private static StageReply toReply(
            List<Integer> shards,
            List<String> signatures,
            List<Integer> notSent,
            List<Integer> unusedAttempts,
            ByteString records) {
        return new StageReply(
                ImmutableList.copyOf(shards),
                ImmutableList.copyOf(signatures),
                ImmutableList.copyOf(notSent),
                ImmutableList.copyOf(unusedAttempts),
                records);
    }

    private void endCall(StageAttempt stage, StageLinks.Link link, boolean answered) {
        pending.remove(stage);
        link.onCallEnded();
        metrics.recordStage(answered);
    }

    /** A call that has no final reply yet. */
    private static final class PendingCall {
        private final StageLinks.Link link;
        private final long number;
        private boolean abandoned;
        private boolean messageCreated;

        PendingCall(StageLinks.Link link, long number) {
            this.link = link;
            this.number = number;
        }
    }
}
