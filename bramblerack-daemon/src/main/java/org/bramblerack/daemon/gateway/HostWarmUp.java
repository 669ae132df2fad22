package org.bramblerack.daemon.gateway;

import io.netty.channel.EventLoop;
import java.lang.System.Logger;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.WarmUpPlan;

/**
 * Runs the warm-up of a host at its start, and its remainder if the host later turns out to call leaves. Real work ends
 * both early.
 *
 * <p>The plan is evaluated on the event loop. Thread-safe.
 */
final class HostWarmUp {
    private static final Logger LOGGER = System.getLogger(HostWarmUp.class.getName());
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);

    private final FleetView view;
    private final Function<Supplier<WarmUpPlan.Step>, WarmUp> factory;
    private final EventLoop loop;
    private final MonotonicClock clock;
    private final WarmUpPlan plan = new WarmUpPlan();
    private volatile WarmUp current;
    private volatile boolean receivedWork;

    /**
     * Creates a warm-up without starting it.
     *
     * @param factory creates a warm-up that follows the given steps
     */
    HostWarmUp(
            FleetView view, Function<Supplier<WarmUpPlan.Step>, WarmUp> factory, EventLoop loop, MonotonicClock clock) {
        this.view = view;
        this.factory = factory;
        this.loop = loop;
        this.clock = clock;
        this.current = factory.apply(() -> plan.next(view.leafCalls()));
    }

    /**
     * Serves the queries of the start and returns.
     *
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    void runAtStart() throws InterruptedException {
        current.run();
        loop.execute(this::checkPlan);
    }

    /** Ends the warm-up: real work needs the processor and warms up the same code. */
    void onWork() {
        if (!receivedWork) {
            receivedWork = true;
            current.end();
        }
    }

    private void checkPlan() {
        switch (plan.nextAfterStart(view.leafCalls(), receivedWork, clock.nowNanos())) {
            case WAIT -> loop.schedule(this::checkPlan, CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
            case SERVE -> serveRemaining();
            default -> {}
        }
    }

    /** Runs on a separate thread, since it blocks while the event loop serves the queries. */
    private void serveRemaining() {
        WarmUp remaining = factory.apply(() -> plan.next(WarmUpPlan.LeafCalls.MADE_HERE));
        current = remaining;
        Thread thread = new Thread(
                () -> {
                    try {
                        remaining.run();
                    } catch (InterruptedException interrupted) {
                        LOGGER.log(Logger.Level.DEBUG, "the warm-up was interrupted", interrupted);
                    }
                },
                "warm-up");
        thread.setDaemon(true);
        thread.start();
    }
}
