package org.bramblerack.daemon.gateway;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.leaf.EventLoopLag;
import org.bramblerack.process.leaf.LagSamplingPeriod;
import org.bramblerack.request.routed.FinalizeLead;
import org.jspecify.annotations.Nullable;

/**
 * Runs the task by which a host sees how far it is behind, and how early to seal its answers, as often as
 * {@link LagSamplingPeriod} says. Owned by the event loop.
 */
final class LagTimer {
    private final EventLoopLag lag;
    private final FinalizeLead sealLead;
    private final EventLoop loop;
    private final MonotonicClock clock;
    private final LagSamplingPeriod period = new LagSamplingPeriod();
    private @Nullable ScheduledFuture<?> next;
    private boolean atRest;
    private long waitedNanos = LagSamplingPeriod.IDLE_PERIOD.toNanos();

    LagTimer(EventLoopLag lag, FinalizeLead sealLead, EventLoop loop, MonotonicClock clock) {
        this.lag = lag;
        this.sealLead = sealLead;
        this.loop = loop;
        this.clock = clock;
    }

    void start() {
        loop.execute(this::run);
    }

    /** Notes that work comes; a host at rest looks at once, since the work may have waited here. */
    void onWork() {
        period.onWork(clock.nowNanos());
        if (atRest && next != null) {
            next.cancel(false);
            run();
        }
    }

    private void run() {
        long nowNanos = clock.nowNanos();
        Duration wait = period.next(nowNanos);
        atRest = wait.equals(LagSamplingPeriod.IDLE_PERIOD);
        lag.onTaskRun(nowNanos, wait);
        sealLead.recordTaskDelay(lag.lagNanos(nowNanos), waitedNanos, nowNanos);
        waitedNanos = wait.toNanos();
        next = loop.schedule(this::run, wait.toNanos(), TimeUnit.NANOSECONDS);
    }
}
