package org.bramblerack.daemon.host;

import com.google.common.collect.ImmutableSet;
import java.lang.System.Logger;
import java.time.Duration;
import org.bramblerack.daemon.entry.HostMetrics;
import org.bramblerack.daemon.peer.Workers;
import org.bramblerack.process.directory.ServiceDirectory;
import org.bramblerack.version.Upstream;

/**
 * Polls the platform's host list and records which upstreams are leaving.
 *
 * <p>The list lags, so a host's absence from it has no meaning. If the list cannot be read, its last content remains in
 * force. Safe for use by many threads.
 */
final class PlatformWatcher {
    private static final Logger LOGGER = System.getLogger(PlatformWatcher.class.getName());
    private static final Duration PERIOD = Duration.ofMillis(500);

    private final PlatformList list;
    private final ServiceDirectory directory;
    private final Workers workers;
    private final HostMetrics metrics;
    private volatile boolean readable = true;

    PlatformWatcher(PlatformList list, ServiceDirectory directory, Workers workers, HostMetrics metrics) {
        this.list = list;
        this.directory = directory;
        this.workers = workers;
        this.metrics = metrics;
    }

    void start() {
        workers.runEvery(PERIOD, this::poll);
    }

    void stop() {
        list.close();
    }

    private void poll() {
        list.leaving()
                .subscribe()
                .with(
                        leaving -> workers.run(() -> recordLeaving(leaving)),
                        failure -> workers.run(() -> onReadFailure(failure)));
    }

    private void recordLeaving(ImmutableSet<String> leaving) {
        if (!readable) {
            readable = true;
            LOGGER.log(Logger.Level.INFO, "the platform's host list is readable again");
        }
        for (Upstream upstream : directory.upstreams()) {
            boolean isLeaving = leaving.contains(upstream.address().toString())
                    || leaving.contains(upstream.address().getHost());
            directory.recordPlatformDrain(upstream.name(), isLeaving);
        }
    }

    private void onReadFailure(Throwable failure) {
        metrics.count("platform.unreadable");
        if (readable) {
            readable = false;
            LOGGER.log(
                    Logger.Level.WARNING,
                    "cannot read the platform''s host list ({0}); keeping its last content, check the configured file or URL",
                    failure.toString());
        }
    }
}
