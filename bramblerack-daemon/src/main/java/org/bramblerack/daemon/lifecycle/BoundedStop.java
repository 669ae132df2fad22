package org.bramblerack.daemon.lifecycle;

import io.netty.util.concurrent.Future;
import io.smallrye.mutiny.TimeoutException;
import io.smallrye.mutiny.Uni;
import java.lang.System.Logger;
import java.time.Duration;

/**
 * Waits for the parts of a stopping process, each for a bounded time, so that none can keep the process from ending.
 *
 * <p>Stateless and safe for use by many threads.
 */
public final class BoundedStop {
    private static final Logger LOGGER = System.getLogger(BoundedStop.class.getName());
    private static final Duration MAX_WAIT = Duration.ofSeconds(3);

    private BoundedStop() {}

    /** Waits until a part has stopped, or logs that it has not. */
    public static void await(Uni<Void> stopped, String part) {
        try {
            stopped.await().atMost(MAX_WAIT);
        } catch (TimeoutException late) {
            logLate(part);
        }
    }

    /** Waits until a part has stopped, or logs that it has not. */
    public static void await(Future<?> stopped, String part) {
        if (!stopped.awaitUninterruptibly(MAX_WAIT.toMillis())) {
            logLate(part);
        }
    }

    /** Waits until a thread has ended, or logs that it has not. */
    public static void await(Thread ending, String part) {
        try {
            ending.join(MAX_WAIT.toMillis());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        if (ending.isAlive()) {
            logLate(part);
        }
    }

    private static void logLate(String part) {
        LOGGER.log(Logger.Level.WARNING, "{0} did not stop within {1}; the stop continues without it", part, MAX_WAIT);
    }
}
