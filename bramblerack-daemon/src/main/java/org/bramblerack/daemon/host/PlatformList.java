package org.bramblerack.daemon.host;

import com.google.common.collect.ImmutableSet;
import io.smallrye.mutiny.Uni;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** A source of the platform's host list. Implementations must be safe for use by many threads. */
interface PlatformList {
    /** Returns the addresses of leaving hosts, as IP or IP:port; fails if the list cannot be read. */
    Uni<ImmutableSet<String>> leaving();

    /** Releases the resources of the source. */
    void close();

    /** Returns the addresses of leaving hosts in a JSON host list. */
    static ImmutableSet<String> parse(String text) {
        JsonArray hosts = new JsonObject(text).getJsonArray("hosts", new JsonArray());
        ImmutableSet.Builder<String> leaving = ImmutableSet.builder();
        for (int position = 0; position < hosts.size(); position++) {
            JsonObject host = hosts.getJsonObject(position);
            if ("leaving".equals(host.getString("state"))) {
                leaving.add(host.getString("address"));
            }
        }
        return leaving.build();
    }
}
