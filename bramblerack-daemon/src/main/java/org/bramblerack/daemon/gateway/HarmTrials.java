package org.bramblerack.daemon.gateway;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoop;
import java.lang.System.Logger;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.bramblerack.daemon.leaf.LeafAnswer;
import org.bramblerack.daemon.leaf.LeafCallback;
import org.bramblerack.daemon.leaf.LeafConnections;
import org.bramblerack.daemon.peer.PeerNetwork;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.harm.HarmfulRequestFilter;
import org.bramblerack.process.leaf.Leaf;
import org.bramblerack.process.leaf.LeafOutcome;
import org.bramblerack.process.leaf.PermittedLeaves;
import org.bramblerack.version.routing.RouteTarget;
import org.bramblerack.wire.Envelope;
import org.bramblerack.wire.StageCall;
import org.bramblerack.wire.TakeTrial;
import org.bramblerack.wire.TakeTrialResult;

/**
 * Tries requests under which leafs ended, which may be harmful or have been bystanders.
 *
 * <p>Of all arrivals at all hosts one at a time may be tried; a control host grants it. A query is sent to one leaf
 * first, so that a harmful one ends that leaf and not one of every shard. Owned by the event loop.
 */
final class HarmTrials {
    private static final Logger LOGGER = System.getLogger(HarmTrials.class.getName());
    /** How long a caller is kept waiting for the grant: agreement takes some tens of milliseconds. */
    private static final Duration GRANT_TIMEOUT = Duration.ofMillis(300);
    /**
     * How long an arrival waits while another one is tried, before it looks again, so that a bystander that is cleared
     * meanwhile is served instead of being sent away. By itself it showed no difference in 400 schedules.
     */
    private static final Duration RECHECK_DELAY = Duration.ofMillis(80);
    /** How often it asks; that bounds how long a request that may be harmful is kept here. */
    private static final int MAX_GRANT_REQUESTS = 3;

    private final FleetView view;
    private final QueryRuns runs;
    private final PeerNetwork network;
    private final Supplier<String> controlHost;
    private final EventLoop loop;
    private final MonotonicClock clock;
    private final RandomGenerator random;

    HarmTrials(
            FleetView view,
            QueryRuns runs,
            PeerNetwork network,
            Supplier<String> controlHost,
            EventLoop loop,
            MonotonicClock clock,
            RandomGenerator random) {
        this.view = view;
        this.runs = runs;
        this.network = network;
        this.controlHost = controlHost;
        this.loop = loop;
        this.clock = clock;
        this.random = random;
    }

    /** What came of asking for a trial. */
    enum Result {
        /** It is to be served. */
        SERVE,
        /** Another one is being tried, so that it was sent to no leaf. */
        NOT_RUN,
        /** It is sent to no leaf any more. */
        QUARANTINED,
        /** It was sent to a leaf, where its call broke, and may have run. */
        DISCONNECTED,
        /** It was sent to a leaf that has not answered in time, and may still run. */
        TIMED_OUT
    }

    /**
     * Asks whether a request may be tried; if it may, and has several shards, sends it to a leaf of one of them first.
     *
     * @param query tells what other hosts are told of the request
     */
    void start(RoutedCall call, Supplier<StageCall> query, Consumer<Result> taker) {
        requestGrant(call, query, MAX_GRANT_REQUESTS, taker);
    }

    private void requestGrant(RoutedCall call, Supplier<StageCall> query, int requestsLeft, Consumer<Result> taker) {
        TakeTrial.Builder trial =
                HarmfulRequestFilter.newTrialRequest(call.request().arrival());
        network.request(controlHost.get(), Envelope.newBuilder().setTakeTrial(trial), GRANT_TIMEOUT)
                .subscribe()
                .with(
                        reply -> loop.execute(
                                () -> onGrantResult(reply.getTakeTrialResult(), call, query, requestsLeft - 1, taker)),
                        failure -> {
                            LOGGER.log(Logger.Level.DEBUG, "no word on a trial: {0}", failure.getMessage());
                            TakeTrialResult undecided = TakeTrialResult.getDefaultInstance();
                            loop.execute(() -> onGrantResult(undecided, call, query, requestsLeft - 1, taker));
                        });
    }

    /** A host to which control gives no answer tries by itself: cut off, it serves what it can. */
    private void onGrantResult(
            TakeTrialResult result,
            RoutedCall call,
            Supplier<StageCall> query,
            int requestsLeft,
            Consumer<Result> taker) {
        boolean granted = result.getDecided()
                ? result.getGranted()
                : view.harmFilter().tryStartLocalTrial(call.request().arrival(), clock.nowNanos());
        if (granted) {
            callFirstShard(call, query, taker);
        } else if (requestsLeft > 0 && hasTimeToWait(call)) {
            loop.schedule(
                    () -> recheckPermission(call, query, requestsLeft, taker),
                    RECHECK_DELAY.toMillis(),
                    TimeUnit.MILLISECONDS);
        } else {
            taker.accept(Result.NOT_RUN);
        }
    }

    private boolean hasTimeToWait(RoutedCall call) {
        return call.times().deadlineNanos() - clock.nowNanos() > 2 * RECHECK_DELAY.toNanos();
    }

    private void recheckPermission(
            RoutedCall call, Supplier<StageCall> query, int requestsLeft, Consumer<Result> taker) {
        switch (view.harmFilter().permission(call.request()::fingerprints)) {
            case FREE -> taker.accept(Result.SERVE);
            case ON_TRIAL -> requestGrant(call, query, requestsLeft, taker);
            default -> taker.accept(Result.QUARANTINED);
        }
    }

    /**
     * Lets another arrival be tried at once, since the trial of the one that was granted it is over.
     *
     * @param disconnected true if it reached a leaf and its call broke there
     */
    void release(RoutedCall call, boolean disconnected) {
        TakeTrial.Builder trial = view.harmFilter().endTrial(call.request().arrival(), disconnected, clock.nowNanos());
        network.request(controlHost.get(), Envelope.newBuilder().setTakeTrial(trial), GRANT_TIMEOUT)
                .subscribe()
                .with(
                        reply -> LOGGER.log(Logger.Level.DEBUG, "a trial was given back"),
                        failure -> LOGGER.log(
                                Logger.Level.DEBUG,
                                "a trial was not given back, it ends by itself: {0}",
                                failure.getMessage()));
    }

    private void callFirstShard(RoutedCall call, Supplier<StageCall> query, Consumer<Result> taker) {
        ImmutableList<String> services = call.route().target().services();
        if (!(call.route().target() instanceof RouteTarget.Scatter) || services.size() == 1) {
            taker.accept(Result.SERVE);
            return;
        }
        long nowNanos = clock.nowNanos();
        long expectedNanos = view.latency(call.route()).medianNanos();
        String shard = services.get(random.nextInt(services.size()));
        PermittedLeaves pool = view.pool(shard).permitted(call.homeRegions());
        Optional<Leaf> leaf = pool.choose(candidate -> true, expectedNanos, random, nowNanos);
        // One leaf more than the query needs, so it is paid for like a retry.
        if (leaf.isEmpty() || !pool.budget().tryWithdraw(nowNanos)) {
            release(call, false);
            taker.accept(Result.NOT_RUN);
            return;
        }
        FirstShardCall firstCall = new FirstShardCall(leaf.get(), leaf.get().begin(expectedNanos, nowNanos), result -> {
            // A leaf that was silent may still end: nobody else is tried until its time is over.
            if (result != Result.TIMED_OUT) {
                release(call, result == Result.DISCONNECTED);
            }
            taker.accept(result);
        });
        LeafConnections.CallHandle ticket = runs.holderPath(query.get())
                .send(leaf.get(), call.request(), call.times().leafDeadlineNanos(), firstCall);
        // Half of the time that is left: the query itself needs the rest.
        long waitNanos = Math.max(0, call.times().deadlineNanos() - nowNanos) / 2;
        loop.schedule(() -> firstCall.abandon(ticket), waitNanos, TimeUnit.NANOSECONDS);
    }

    /** The call on the first shard. */
    private final class FirstShardCall implements LeafCallback {
        private final Leaf leaf;
        private final Leaf.Call call;
        private final Consumer<Result> taker;
        private boolean ended;

        FirstShardCall(Leaf leaf, Leaf.Call call, Consumer<Result> taker) {
            this.leaf = leaf;
            this.call = call;
            this.taker = taker;
        }

        @Override
        public void onAnswer(LeafAnswer answer) {
            if (!ended) {
                leaf.end(call, answer.outcome(), answer.load(), clock.nowNanos());
                end(answer.outcome().isNotRun() ? Result.NOT_RUN : Result.SERVE);
            }
        }

        @Override
        public void onFailure(LeafOutcome outcome) {
            if (!ended) {
                leaf.end(call, outcome, Optional.empty(), clock.nowNanos());
                boolean disconnected = outcome == LeafOutcome.BROKEN || outcome == LeafOutcome.GARBLED;
                Result sent = disconnected ? Result.DISCONNECTED : Result.TIMED_OUT;
                end(outcome.isNotRun() ? Result.NOT_RUN : sent);
            }
        }

        void abandon(LeafConnections.CallHandle ticket) {
            if (!ended) {
                leaf.abandon(call, clock.nowNanos());
                ended = true;
                taker.accept(ticket.abandon() ? Result.NOT_RUN : Result.TIMED_OUT);
            }
        }

        private void end(Result result) {
            ended = true;
            taker.accept(result);
        }
    }
}
