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
 * Runs the periodic task that measures event-loop lag and adjusts how early answers are finalized, at the intervals of
 * {@link LagSamplingPeriod}. Owned by the event loop.
 */
final class LagTimer {
    private final EventLoopLag lag;
    private final FinalizeLead finalizeLead;
    private final EventLoop loop;
    private final MonotonicClock clock;
    private final LagSamplingPeriod period = new LagSamplingPeriod();
    private @Nullable ScheduledFuture<?> next;
    private boolean idle;
    private long lastPeriodNanos = LagSamplingPeriod.IDLE_PERIOD.toNanos();

    LagTimer(EventLoopLag lag, FinalizeLead finalizeLead, EventLoop loop, MonotonicClock clock) {
        this.lag = lag;
        this.finalizeLead = finalizeLead;
        this.loop = loop;
        this.clock = clock;
    }

    void start() {
        loop.execute(this::run);
    }

    /** Records that work arrived; an idle host measures at once, since the work may have waited for the event loop. */
    void onWork() {
        period.onWork(clock.nowNanos());
        if (idle && next != null) {
            next.cancel(false);
            run();
        }
    }

    private void run() {
        long nowNanos = clock.nowNanos();
        Duration samplingPeriod = period.next(nowNanos);
        idle = samplingPeriod.equals(LagSamplingPeriod.IDLE_PERIOD);
        lag.onTaskRun(nowNanos, samplingPeriod);
        finalizeLead.recordTaskDelay(lag.lagNanos(nowNanos), lastPeriodNanos, nowNanos);
        lastPeriodNanos = samplingPeriod.toNanos();
        next = loop.schedule(this::run, samplingPeriod.toNanos(), TimeUnit.NANOSECONDS);
    }
}
