package org.bramblerack.daemon.gateway;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.request.routed.DeferredStarts;
import org.bramblerack.version.routing.RouteTarget;

/** Starts the queries that were held back, as the leafs have room. Owned by the event loop. */
final class DeferredQueries {
    /** How often it is looked for room: a part of the time of a call. */
    private static final long LOOK_NANOS = Duration.ofMillis(10).toNanos();
    /** The share of the shards that must have room: a few are always paused or slow. */
    private static final double ROOM_SHARE = 0.8;

    private final FleetView view;
    private final MonotonicClock clock;
    private final EventLoop loop;
    private final DeferredStarts<Held> starts = new DeferredStarts<>();
    private boolean looking;

    DeferredQueries(FleetView view, MonotonicClock clock, EventLoop loop) {
        this.view = view;
        this.clock = clock;
        this.loop = loop;
    }

    private record Held(ScatterRun run, RouteTarget.Scatter target) {}

    /**
     * Starts a query when there is room for it.
     *
     * @param startByNanos when it starts at the latest
     * @return what to call if its caller goes away
     */
    Runnable startWhenRoom(ScatterRun run, RouteTarget.Scatter target, long startByNanos) {
        Held query = new Held(run, target);
        starts.defer(query, startByNanos);
        look();
        return () -> {
            starts.remove(query);
            run.callerGone();
        };
    }

    private void look() {
        boolean room = false;
        long nowNanos = clock.nowNanos();
        do {
            room = false;
            for (Held query : starts.pollDue(hasRoom(nowNanos), nowNanos)) {
                room = true;
                query.run().start();
            }
        } while (room && !starts.isEmpty());
        if (!starts.isEmpty() && !looking) {
            looking = true;
            loop.schedule(this::lookAgain, LOOK_NANOS, TimeUnit.NANOSECONDS);
        }
    }

    private void lookAgain() {
        looking = false;
        look();
    }

    private boolean hasRoom(long nowNanos) {
        return starts.peek()
                .map(query -> view.shareWithCapacity(query.target(), nowNanos) >= ROOM_SHARE)
                .orElse(false);
    }
}
