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
 * Sends requests to the running processes of the demonstration, prints its output and records failed checks.
 *
 * <p>Not thread-safe.
 */
final class Demonstration {
    /** Maximum sends of one change: enough to outlast an election of a new leader. */
    private static final int MAX_SENDS = 5;

    private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(100);

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

    void printTitle(String text) {
        out.println();
        out.println(text);
    }

    void printDetail(String text) {
        out.println("    " + text);
    }

    /** Prints whether an expectation is met, and records a failure if it is not. */
    void check(boolean met, String expectation) {
        out.println((met ? "  ok    " : "  FAIL  ") + expectation);
        if (!met) {
            failures.add(expectation);
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

    ApiClient.Reply apply(String host, String partner, String changeId, long expectedRevision, String declaration)
            throws IOException {
        Map<String, String> headers = Map.of(
                "Authorization",
                "Bearer " + DemoPlan.credential(partner),
                OperatorApi.CHANGE_ID_HEADER,
                changeId,
                OperatorApi.EXPECTED_REVISION_HEADER,
                Long.toString(expectedRevision));
        ApiClient.Reply reply = client.put(address(host), "/v1/declaration/" + partner, headers, declaration);
        // If leadership changes, the outcome is unknown. A resend with the same change ID returns the first result.
        for (int sends = 1; sends < MAX_SENDS && reply.refusal().equals(RefusalKind.CHANGE_UNKNOWN.code()); sends++) {
            reply = client.put(address(host), "/v1/declaration/" + partner, headers, declaration);
        }
        return reply;
    }

    /** Changes the behaviour of those stand-ins whose name starts with the {@code upstream} of the change. */
    void setBehaviour(String partner, JsonObject change) throws IOException {
        client.post(address("stand-in-" + partner), "/behaviour", change);
    }

    /** Makes the stand-ins of a service serve another index version, and drop the one in {@code instead} if given. */
    void setIndexVersion(String partner, JsonObject change) throws IOException {
        client.post(address("stand-in-" + partner), "/version", change);
    }

    /** Returns the calls and runs that the stand-ins of a partner have counted. */
    JsonObject ledger(String partner, String query) throws IOException {
        return client.get(address("stand-in-" + partner), "/ledger" + query).json();
    }

    /** Returns the lowest revision in force on any host, or -1 if a host has not reported its revision. */
    long lowestRevision(String host) throws IOException {
        JsonArray hosts = get(host, "/v1/status").json().getJsonArray("hosts", new JsonArray());
        long lowest = hosts.isEmpty() ? -1 : Long.MAX_VALUE;
        for (Object hostStatus : hosts) {
            lowest = Math.min(lowest, ((JsonObject) hostStatus).getLong("revision"));
        }
        return lowest;
    }

    /** Waits until a condition holds. Returns the elapsed time in milliseconds, or -1 after a timeout. */
    long await(BooleanSupplier condition) throws InterruptedException {
        long startNanos = System.nanoTime();
        while (System.nanoTime() - startNanos < AWAIT_TIMEOUT.toNanos()) {
            if (condition.getAsBoolean()) {
                return Duration.ofNanos(System.nanoTime() - startNanos).toMillis();
            }
            Thread.sleep(POLL_INTERVAL.toMillis());
        }
        return -1;
    }

    /** Returns the operating system's ID of a process that the script started. */
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
