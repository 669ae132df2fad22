package org.bramblerack.cli.bench;

import io.vertx.core.json.JsonObject;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.client.HttpResponse;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/** Sends queries to the tier over HTTP, through its hosts in turn. */
final class TierTarget implements Target {
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final int HTTP_OK = 200;

    private final BenchSystem system;
    private final AtomicLong queryCounter = new AtomicLong();

    TierTarget(BenchSystem system) {
        this.system = system;
    }

    @Override
    public void send(boolean urgent, Consumer<Outcome> done) {
        long number = queryCounter.incrementAndGet();
        int host = (int) (number % system.hosts().size());
        JsonObject body = new JsonObject()
                .put("requestId", "q" + number)
                .put("class", urgent ? "urgent" : "normal")
                .put("query", "");
        system.client()
                .post(system.address(host).getPort(), "127.0.0.1", "/v1/query/bench/search")
                .timeout(TIMEOUT_MILLIS)
                .sendBuffer(Buffer.newInstance(body.toBuffer()))
                .subscribe()
                .with(response -> done.accept(outcomeOf(response)), failure -> done.accept(Outcome.REFUSED));
    }

    @Override
    public void close() {
        // The owner of the system closes it.
    }

    private static Outcome outcomeOf(HttpResponse<Buffer> response) {
        if (response.statusCode() != HTTP_OK) {
            return Outcome.REFUSED;
        }
        JsonObject coverage = response.bodyAsJsonObject().getJsonObject("coverage");
        boolean whole = coverage.getInteger("covered").equals(coverage.getInteger("shards"));
        return whole ? Outcome.COMPLETE : Outcome.PARTIAL;
    }
}
