package org.bramblerack.cli;

import com.google.common.net.HostAndPort;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.bramblerack.daemon.entry.OperatorApi;
import org.bramblerack.request.RefusalKind;

/**
 * The running processes of the demonstration, as its steps see them, and the record of what held.
 *
 * <p>Not safe for use by several threads.
 */
final class Demonstration {
    /** How often a change is sent before the demonstration takes its answer as it is: an election or two long. */
    private static final int MOST_SENDS = 5;

    private static final Duration PATIENCE = Duration.ofSeconds(20);
    private static final Duration ASK_EVERY = Duration.ofMillis(100);

    private final Path folder;
    private final ApiClient client;
    private final PrintStream out;
    private final Map<String, HostAndPort> addresses = new LinkedHashMap<>();
    private final List<String> failures = new ArrayList<>();

    Demonstration(Path folder, ApiClient client, PrintStream out) throws IOException {
        this.folder = folder;
        this.client = client;
        this.out = out;
        for (String line : TextFiles.read(folder.resolve("addresses")).lines().toList()) {
            int space = line.indexOf(' ');
            addresses.put(line.substring(0, space), HostAndPort.fromString(line.substring(space + 1)));
        }
    }

    Path folder() {
        return folder;
    }

    void title(String text) {
        out.println();
        out.println(text);
    }

    void show(String text) {
        out.println("    " + text);
    }

    /** Records whether something held. */
    void check(boolean held, String what) {
        out.println((held ? "  ok    " : "  FAIL  ") + what);
        if (!held) {
            failures.add(what);
        }
    }

    List<String> failures() {
        return failures;
    }

    ApiClient.Reply get(String process, String path) throws IOException {
        return client.get(address(process), path);
    }

    ApiClient.Reply query(String host, String service, String requestClass, String requestId) throws IOException {
        JsonObject body = new JsonObject()
                .put("requestId", requestId)
                .put("class", requestClass)
                .put("query", new JsonObject().put("title", "any"));
        return client.post(address(host), "/v1/query/" + service, body);
    }

    ApiClient.Reply operation(String host, String service, String operation, String requestId) throws IOException {
        JsonObject body =
                new JsonObject().put("requestId", requestId).put("arguments", new JsonObject().put("amount", 500));
        return client.post(address(host), "/v1/operation/" + service + "/" + operation, body);
    }

    ApiClient.Reply apply(String host, String partner, String changeId, long expected, String text) throws IOException {
        Map<String, String> headers = Map.of(
                "Authorization",
                "Bearer " + DemoPlan.credential(partner),
                OperatorApi.CHANGE_ID_HEADER,
                changeId,
                OperatorApi.EXPECTED_REVISION_HEADER,
                Long.toString(expected));
        ApiClient.Reply reply = client.put(address(host), "/v1/declaration/" + partner, headers, text);
        // A leader that loses its place leaves a change without a clear answer; sent again, it gets its first result.
        for (int sent = 1; sent < MOST_SENDS && reply.refusal().equals(RefusalKind.CHANGE_UNKNOWN.code()); sent++) {
            reply = client.put(address(host), "/v1/declaration/" + partner, headers, text);
        }
        return reply;
    }

    /** Sets how the stand-ins behave whose full name begins with a text. */
    void behave(String partner, JsonObject change) throws IOException {
        client.post(address("stand-in-" + partner), "/behaviour", change);
    }

    void version(String partner, JsonObject change) throws IOException {
        client.post(address("stand-in-" + partner), "/version", change);
    }

    JsonObject ledger(String partner, String query) throws IOException {
        return client.get(address("stand-in-" + partner), "/ledger" + query).json();
    }

    /** Returns the smallest revision in force on any host, or -1 if a host was not heard. */
    long leastRevision(String host) throws IOException {
        JsonArray hosts = get(host, "/v1/status").json().getJsonArray("hosts", new JsonArray());
        long least = hosts.isEmpty() ? -1 : Long.MAX_VALUE;
        for (Object each : hosts) {
            least = Math.min(least, ((JsonObject) each).getLong("revision"));
        }
        return least;
    }

    /** Waits until a condition holds; returns the time that took, or empty-handed a negative time. */
    long await(BooleanSupplier condition) throws InterruptedException {
        long startNanos = System.nanoTime();
        while (System.nanoTime() - startNanos < PATIENCE.toNanos()) {
            if (condition.getAsBoolean()) {
                return Duration.ofNanos(System.nanoTime() - startNanos).toMillis();
            }
            Thread.sleep(ASK_EVERY.toMillis());
        }
        return -1;
    }

    /** Returns the process identifier of a process that the script started. */
    long processId(String process) throws IOException {
        return Long.parseLong(TextFiles.read(folder.resolve(process + ".pid")).strip());
    }

    private HostAndPort address(String process) throws IOException {
        HostAndPort address = addresses.get(process);
        if (address == null) {
            throw new IOException("the demonstration has no process " + process);
        }
        return address;
    }
}
