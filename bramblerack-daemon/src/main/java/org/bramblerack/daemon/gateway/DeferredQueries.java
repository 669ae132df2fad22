package org.bramblerack.daemon.gateway;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.request.routed.DeferredStarts;
import org.bramblerack.version.routing.RouteTarget;

/** Starts deferred queries once the leaves have capacity. Owned by the event loop. */
final class DeferredQueries {
    /** A fraction of the duration of a leaf call. */
    private static final long CHECK_INTERVAL_NANOS = Duration.ofMillis(10).toNanos();
    /** The fraction of the shards that must have capacity; below 1, since a few are usually paused or slow. */
    private static final double MIN_SHARE_WITH_CAPACITY = 0.8;

    private final FleetView view;
    private final MonotonicClock clock;
    private final EventLoop loop;
    private final DeferredStarts<DeferredQuery> starts = new DeferredStarts<>();
    private boolean checkScheduled;

    DeferredQueries(FleetView view, MonotonicClock clock, EventLoop loop) {
        this.view = view;
        this.clock = clock;
        this.loop = loop;
    }

    /** A deferred query. */
    interface Handle {
        /** Ends the query because its caller has left. */
        void callerGone();

        /** Ends the query with the parts that are in. */
        void endNow();
    }

    private record DeferredQuery(ScatterRun run, RouteTarget.Scatter target) {}

    /**
     * Starts a query when its leaves have capacity.
     *
     * @param startByNanos when it starts at the latest
     * @return a handle to end it early
     */
    Handle defer(ScatterRun run, RouteTarget.Scatter target, long startByNanos) {
        DeferredQuery query = new DeferredQuery(run, target);
        starts.defer(query, startByNanos);
        startDue();
        return new Handle() {
            @Override
            public void callerGone() {
                starts.remove(query);
                run.callerGone();
            }

            @Override
            public void endNow() {
                starts.remove(query);
                run.endNow();
            }
        };
    }

    private void startDue() {
        boolean started = false;
        long nowNanos = clock.nowNanos();
        do {
            started = false;
            for (DeferredQuery query : starts.pollDue(hasCapacity(nowNanos), nowNanos)) {
                started = true;
                query.run().start();
            }
        } while (started && !starts.isEmpty());
        if (!starts.isEmpty() && !checkScheduled) {
            checkScheduled = true;
            loop.schedule(this::onCheckTimer, CHECK_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
        }
    }

    private void onCheckTimer() {
        checkScheduled = false;
        startDue();
    }

    private boolean hasCapacity(long nowNanos) {
        return starts.peek()
                .map(query -> view.shareWithCapacity(query.target(), nowNanos) >= MIN_SHARE_WITH_CAPACITY)
                .orElse(false);
    }
}
