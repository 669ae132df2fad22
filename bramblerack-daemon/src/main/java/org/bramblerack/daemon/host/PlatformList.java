package org.bramblerack.daemon.host;

import com.google.common.collect.ImmutableSet;
import io.smallrye.mutiny.Uni;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** The platform's list of live and leaving hosts. Implementations must be safe for use by many threads. */
interface PlatformList {
    /** Returns the addresses, of the form IP or IP:port, that are leaving; fails if the list cannot be read. */
    Uni<ImmutableSet<String>> leaving();

    /** Gives back what the list holds open. */
    void close();

    /** Returns the leaving addresses of a list written as JSON. */
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
