package org.bramblerack.daemon.host;

import com.google.common.collect.ImmutableSet;
import io.smallrye.mutiny.Uni;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.lang.System.Logger;
import java.time.Duration;
import org.bramblerack.daemon.entry.HostMetrics;
import org.bramblerack.daemon.peer.Workers;
import org.bramblerack.daemon.settings.PlatformSource;
import org.bramblerack.process.directory.ServiceDirectory;
import org.bramblerack.version.Upstream;

/**
 * Reads the platform's list of live and leaving hosts, from a file or over HTTP.
 *
 * <p>The list only says what is leaving; that something is missing from it means nothing, as it lags. If it cannot be
 * read, what it said last stays. Safe for use by many threads.
 */
final class PlatformWatcher {
    private static final Logger LOGGER = System.getLogger(PlatformWatcher.class.getName());
    private static final Duration PERIOD = Duration.ofMillis(500);
    private static final Duration TIMEOUT = Duration.ofMillis(400);

    private final Vertx vertx;
    private final PlatformSource source;
    private final ServiceDirectory directory;
    private final Workers workers;
    private final HostMetrics metrics;
    private final WebClient client;
    private volatile boolean readable = true;

    PlatformWatcher(
            Vertx vertx, PlatformSource source, ServiceDirectory directory, Workers workers, HostMetrics metrics) {
        this.vertx = vertx;
        this.source = source;
        this.directory = directory;
        this.workers = workers;
        this.metrics = metrics;
        this.client = WebClient.create(vertx);
    }

    void start() {
        if (source.file().isPresent() || source.url().isPresent()) {
            workers.runEvery(PERIOD, this::look);
        }
    }

    void stop() {
        client.close();
    }

    private void look() {
        fetch().map(PlatformWatcher::leavingAddresses)
                .subscribe()
                .with(leaving -> workers.run(() -> take(leaving)), failure -> workers.run(() -> unreadable(failure)));
    }

    private Uni<Buffer> fetch() {
        if (source.file().isPresent()) {
            return vertx.fileSystem().readFile(source.file().get());
        }
        return client.getAbs(source.url().orElse(""))
                .timeout(TIMEOUT.toMillis())
                .send()
                .map(response -> response.bodyAsBuffer());
    }

    /** Returns the addresses, of the form IP or IP:port, that the list says are leaving. */
    private static ImmutableSet<String> leavingAddresses(Buffer text) {
        JsonArray hosts = new JsonObject(text.toString()).getJsonArray("hosts", new JsonArray());
        ImmutableSet.Builder<String> leaving = ImmutableSet.builder();
        for (int position = 0; position < hosts.size(); position++) {
            JsonObject host = hosts.getJsonObject(position);
            if ("leaving".equals(host.getString("state"))) {
                leaving.add(host.getString("address"));
            }
        }
        return leaving.build();
    }

    private void take(ImmutableSet<String> leaving) {
        if (!readable) {
            readable = true;
            LOGGER.log(Logger.Level.INFO, "the platform's list can be read again");
        }
        for (Upstream upstream : directory.upstreams()) {
            boolean named = leaving.contains(upstream.address().toString())
                    || leaving.contains(upstream.address().getHost());
            directory.recordPlatform(upstream.name(), named);
        }
    }

    private void unreadable(Throwable failure) {
        metrics.count("platform.unreadable");
        if (readable) {
            readable = false;
            LOGGER.log(
                    Logger.Level.WARNING,
                    "the platform''s list cannot be read ({0}); what it said last stays, check its source",
                    failure.toString());
        }
    }
}
