package org.bramblerack.cli.bench;

import com.google.common.net.HostAndPort;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.WebClientOptions;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.client.HttpResponse;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Stream;
import org.bramblerack.daemon.control.FileLogStore;
import org.bramblerack.daemon.entry.OperatorApi;
import org.bramblerack.daemon.host.HostProcess;
import org.bramblerack.daemon.peer.LinkPolicy;
import org.bramblerack.daemon.settings.Role;
import org.bramblerack.daemon.settings.Settings;
import org.bramblerack.daemon.settings.SettingsReader;
import org.bramblerack.request.QueryCounter;
import org.bramblerack.standin.StandInFleet;
import org.bramblerack.version.Declaration;
import org.bramblerack.version.DeclarationReader;

/**
 * A small system that runs in this process on loopback: hosts, stand-in upstreams and an HTTP client.
 *
 * <p>Safe for use by many threads once started. {@link #close} stops the hosts and deletes their files.
 */
final class BenchSystem implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(2);

    private final Path folder;
    private final Topology topology;
    private final String declarationText;
    private final Declaration declaration;
    private final StandInFleet fleet;
    private final List<HostProcess> hosts = new ArrayList<>();
    private final Function<String, LinkPolicy> linkPolicies;
    private final Vertx vertx = Vertx.vertx();
    private final WebClient client;

    private BenchSystem(
            Path folder,
            Topology topology,
            String text,
            int serviceMicros,
            long seed,
            Function<String, LinkPolicy> links) {
        this.folder = folder;
        this.topology = topology;
        this.declarationText = text;
        this.declaration = DeclarationReader.read(text).get();
        this.fleet = new StandInFleet(declaration, serviceMicros, seed);
        this.linkPolicies = links;
        this.client = WebClient.create(
                vertx, new WebClientOptions().setMaxPoolSize(2_000).setKeepAliveTimeout(30));
    }

    /**
     * Starts stand-ins and hosts, applies the declaration, and waits until every host knows an upstream for every
     * shard.
     */
    static BenchSystem start(int hosts, int shards, int slots, int serviceMicros, int deadlineMillis, long seed)
            throws IOException, InterruptedException {
        return start(hosts, shards, slots, serviceMicros, deadlineMillis, seed, host -> LinkPolicy.OPEN);
    }

    static BenchSystem start(
            int hosts,
            int shards,
            int slots,
            int serviceMicros,
            int deadlineMillis,
            long seed,
            Function<String, LinkPolicy> links)
            throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("bench");
        Topology topology = Topology.create(hosts, 2, hosts < 3 ? 1 : 3, folder);
        String text = topology.declaration(shards, slots, deadlineMillis);
        BenchSystem system = new BenchSystem(folder, topology, text, serviceMicros, seed, links);
        system.writePlatformList("");
        system.fleet.start();
        for (int host = 0; host < hosts; host++) {
            system.initializeVoter(host);
            system.startHost(host);
        }
        system.awaitLeader();
        system.apply(0, "first", 0, text);
        system.awaitInForce(1);
        system.awaitAllShards();
        return system;
    }

    /** Replaces the platform's list of hosts by one with the leaving address, or by an empty list if that is empty. */
    void writePlatformList(String leavingAddress) throws IOException {
        String entry =
                leavingAddress.isEmpty() ? "" : "{\"address\": \"" + leavingAddress + "\", \"state\": \"leaving\"}";
        Path newFile = folder.resolve("platform.new");
        Files.writeString(newFile, "{\"hosts\": [" + entry + "]}");
        Files.move(newFile, topology.platformFile(), StandardCopyOption.REPLACE_EXISTING);
    }

    StandInFleet fleet() {
        return fleet;
    }

    Declaration declaration() {
        return declaration;
    }

    String declarationText() {
        return declarationText;
    }

    Vertx vertx() {
        return vertx;
    }

    WebClient client() {
        return client;
    }

    List<HostProcess> hosts() {
        return hosts;
    }

    HostAndPort address(int host) {
        return HostAndPort.fromParts("127.0.0.1", hosts.get(host).callerPort());
    }

    /** Sends a declaration to a host and returns the reply's body. */
    JsonObject apply(int host, String changeId, long expected, String declarationText) {
        HttpResponse<Buffer> response = client.put(
                        address(host).getPort(), address(host).getHost(), "/v1/declaration/" + Topology.PARTNER)
                .putHeader("Authorization", "Bearer " + Topology.CREDENTIAL)
                .putHeader(OperatorApi.CHANGE_ID_HEADER, changeId)
                .putHeader(OperatorApi.EXPECTED_REVISION_HEADER, Long.toString(expected))
                .sendBuffer(Buffer.buffer(declarationText))
                .await()
                .atMost(TIMEOUT);
        return response.bodyAsJsonObject();
    }

    JsonObject status(int host) {
        return client.get(address(host).getPort(), address(host).getHost(), "/v1/status")
                .send()
                .await()
                .atMost(TIMEOUT)
                .bodyAsJsonObject();
    }

    /** Returns the sum of each query counter over all running hosts. */
    Map<QueryCounter, Long> counterTotals() {
        Map<QueryCounter, Long> counts = new EnumMap<>(QueryCounter.class);
        for (QueryCounter counter : QueryCounter.values()) {
            long sum = hosts.stream()
                    .mapToLong(host -> host.metrics().countOf(counter))
                    .sum();
            counts.put(counter, sum);
        }
        return counts;
    }

    /** Adds a line to the report with the increase of each query counter since an earlier reading. */
    void reportCountersSince(Map<QueryCounter, Long> before, Report report) {
        StringBuilder text = new StringBuilder("counted:");
        counterTotals().forEach((counter, count) -> {
            long since = count - before.getOrDefault(counter, 0L);
            if (since > 0) {
                text.append(' ').append(counter.code()).append(' ').append(since);
            }
        });
        report.line("%s", text);
    }

    /** Waits until every running host has at least the given revision in force. */
    void awaitInForce(long revision) throws InterruptedException {
        long startNanos = System.nanoTime();
        while (System.nanoTime() - startNanos < TIMEOUT.toNanos()) {
            boolean all = true;
            for (int host = 0; host < hosts.size(); host++) {
                all &= hosts.get(host).revision() >= revision;
            }
            if (all) {
                return;
            }
            Thread.sleep(POLL_INTERVAL.toMillis());
        }
        throw new IllegalStateException("revision " + revision + " did not come into force on every host in time");
    }

    void awaitLeader() throws InterruptedException {
        long startNanos = System.nanoTime();
        while (!status(hosts.size() - 1).getBoolean("quorum", false)) {
            if (System.nanoTime() - startNanos > TIMEOUT.toNanos()) {
                throw new IllegalStateException("no control leader was elected in time");
            }
            Thread.sleep(POLL_INTERVAL.toMillis());
        }
    }

    /** Stops a host abruptly, as a crash does, and removes it from {@link #hosts}. */
    void kill(int host) {
        hosts.remove(host).kill();
    }

    @Override
    public void close() {
        hosts.forEach(HostProcess::kill);
        fleet.stop();
        client.close();
        vertx.closeAndAwait();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException left) {
            throw new IllegalStateException("cannot delete " + folder + "; delete it by hand", left);
        }
    }

    private void initializeVoter(int host) throws IOException {
        Settings settings = SettingsReader.read(topology.settings(host)).get();
        if (settings.hasRole(Role.CONTROL)) {
            new FileLogStore(settings.controlFolder()).initialize();
        }
    }

    /** Starts a host, or restarts one that was killed, and inserts it into {@link #hosts} at its index. */
    void startHost(int host) throws IOException, InterruptedException {
        HostProcess process =
                new HostProcess(SettingsReader.read(topology.settings(host)).get(), linkPolicies.apply("h" + host));
        process.start();
        hosts.add(Math.min(host, hosts.size()), process);
    }

    private void awaitAllShards() throws InterruptedException {
        int shards = declaration.services().values().iterator().next().shards();
        for (int host = 0; host < hosts.size(); host++) {
            long startNanos = System.nanoTime();
            while (shardsServed(host) < shards) {
                if (System.nanoTime() - startNanos > TIMEOUT.toNanos()) {
                    throw new IllegalStateException(
                            "host " + host + " did not learn an upstream for every shard in time");
                }
                Thread.sleep(POLL_INTERVAL.toMillis());
            }
        }
    }

    private long shardsServed(int host) {
        JsonArray services = status(host).getJsonArray("services");
        for (Object each : services) {
            JsonObject service = (JsonObject) each;
            if (service.getString("name").equals(Topology.PARTNER + "/search")) {
                return service.getLong("shardsServed");
            }
        }
        return 0;
    }
}
