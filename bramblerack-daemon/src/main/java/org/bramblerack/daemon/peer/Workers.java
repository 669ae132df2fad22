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
 * The thread pool that runs all decisions of a process, and its timer.
 *
 * <p>Network threads and the timer only submit tasks. The lock order of the tables that the workers share is in
 * {@code docs/DESIGN.md}. A task that throws is logged and affects no other task. Safe for use by many threads.
 */
public final class Workers {
    private static final Logger LOGGER = System.getLogger(Workers.class.getName());

    private final ExecutorService pool;
    private final ScheduledExecutorService timer;

    /** Creates a pool with the given number of threads. */
    public Workers(String name, int threads) {
        AtomicInteger number = new AtomicInteger();
        this.pool = Executors.newFixedThreadPool(
                threads, task -> daemonThread(task, name + "-worker-" + number.incrementAndGet()));
        this.timer = Executors.newSingleThreadScheduledExecutor(task -> daemonThread(task, name + "-timer"));
    }

    /** Runs a task on a worker; dropped after {@link #stop}. */
    public void run(Runnable task) {
        try {
            pool.execute(() -> runAndLogFailure(task));
        } catch (RejectedExecutionException stopped) {
            LOGGER.log(Logger.Level.DEBUG, "dropped a task that was submitted after the workers stopped");
        }
    }

    /** Runs a task on a worker after a delay. */
    public void runAfter(long delayNanos, Runnable task) {
        try {
            timer.schedule(() -> run(task), Math.max(0, delayNanos), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException stopped) {
            LOGGER.log(Logger.Level.DEBUG, "dropped a delayed task that was submitted after the workers stopped");
        }
    }

    /** Runs a task on a worker repeatedly, with a fixed delay. */
    public void runEvery(Duration period, Runnable task) {
        timer.scheduleWithFixedDelay(() -> run(task), period.toNanos(), period.toNanos(), TimeUnit.NANOSECONDS);
    }

    /** Stops the pool; queued tasks are dropped. */
    public void stop() {
        timer.shutdownNow();
        pool.shutdownNow();
    }

    private static void runAndLogFailure(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException failure) {
            LOGGER.log(
                    Logger.Level.ERROR,
                    "a task failed with an unexpected exception; please report it as a bug",
                    failure);
        }
    }

    private static Thread daemonThread(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }
}
