package org.bramblerack.daemon.host;

import com.google.common.collect.ImmutableSet;
import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.time.Duration;

/** Reads the platform's host list over HTTP. Safe for use by many threads. */
final class HttpPlatformList implements PlatformList {
    private static final Duration TIMEOUT = Duration.ofMillis(400);

    private final WebClient client;
    private final String url;

    HttpPlatformList(Vertx vertx, String url) {
        this.client = WebClient.create(vertx);
        this.url = url;
    }

    @Override
    public Uni<ImmutableSet<String>> leaving() {
        return client.getAbs(url)
                .timeout(TIMEOUT.toMillis())
                .send()
                .map(response -> PlatformList.parse(response.bodyAsString()));
    }

    @Override
    public void close() {
        client.close();
    }
}
