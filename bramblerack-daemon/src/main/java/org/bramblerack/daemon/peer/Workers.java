package org.bramblerack.daemon.peer;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The pool of workers on which all decisions of a process are made, and its timer.
 *
 * <p>Events are handed over by network threads and the timer, which never decide anything themselves. The tables that
 * the workers share have a stated lock order: {@code docs/DESIGN.md}. A task that throws is logged and ends nothing
 * else. Safe for use by many threads.
 */
public final class Workers {
    private static final Logger LOGGER = System.getLogger(Workers.class.getName());

    private final ExecutorService pool;
    private final ScheduledExecutorService timer;

    /** Creates and starts a pool of the given number of threads. */
    public Workers(String name, int threads) {
        AtomicInteger number = new AtomicInteger();
        this.pool = Executors.newFixedThreadPool(
                threads, task -> daemonThread(task, name + "-worker-" + number.incrementAndGet()));
        this.timer = Executors.newSingleThreadScheduledExecutor(task -> daemonThread(task, name + "-timer"));
    }

    /** Runs a task on a worker. After {@link #stop} it is dropped. */
    public void run(Runnable task) {
        try {
            pool.execute(() -> runAndLogFailure(task));
        } catch (RejectedExecutionException stopped) {
            LOGGER.log(Logger.Level.DEBUG, "a task came after the workers stopped");
        }
    }

    /** Runs a task on a worker after a delay. */
    public void runAfter(long delayNanos, Runnable task) {
        try {
            timer.schedule(() -> run(task), Math.max(0, delayNanos), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException stopped) {
            LOGGER.log(Logger.Level.DEBUG, "a timer was set after the workers stopped");
        }
    }

    /** Runs a task on a worker again and again. */
    public void runEvery(Duration period, Runnable task) {
        timer.scheduleWithFixedDelay(() -> run(task), period.toNanos(), period.toNanos(), TimeUnit.NANOSECONDS);
    }

    /** Stops the pool; tasks that wait are dropped. */
    public void stop() {
        timer.shutdownNow();
        pool.shutdownNow();
    }

    private static void runAndLogFailure(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException failure) {
            LOGGER.log(Logger.Level.ERROR, "a task failed; this is a fault of the program, please report it", failure);
        }
    }

    private static Thread daemonThread(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }
}
