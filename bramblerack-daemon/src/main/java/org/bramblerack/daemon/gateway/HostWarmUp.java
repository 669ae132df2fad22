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
 * Warms a host up when it starts, and once more if it learns later that it calls leafs; work that comes ends both.
 *
 * <p>The plan is looked at on the event loop; safe for use by many threads.
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
     * Creates one that does nothing yet.
     *
     * @param factory makes a warm-up that serves what it is told to
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
     * Serves the queries of a start and returns.
     *
     * @throws InterruptedException if the thread is interrupted meanwhile
     */
    void runAtStart() throws InterruptedException {
        current.run();
        loop.execute(this::checkPlan);
    }

    /** Ends it: real work is the better warm-up, and somebody waits for the processor. */
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

    /** In a thread of its own, since it waits until the queries are served on the event loop. */
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
