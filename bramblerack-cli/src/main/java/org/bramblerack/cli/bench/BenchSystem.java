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
 * A small system in this process: hosts, stand-in upstreams, and a client, on loopback.
 *
 * <p>Safe for use by many threads once it is started. Close it after use.
 */
final class BenchSystem implements AutoCloseable {
    private static final Duration PATIENCE = Duration.ofSeconds(30);
    private static final Duration ASK_EVERY = Duration.ofMillis(2);

    private final Path folder;
    private final Topology topology;
    private final String text;
    private final Declaration declaration;
    private final StandInFleet fleet;
    private final List<HostProcess> hosts = new ArrayList<>();
    private final Function<String, LinkPolicy> links;
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
        this.text = text;
        this.declaration = DeclarationReader.read(text).get();
        this.fleet = new StandInFleet(declaration, serviceMicros, seed);
        this.links = links;
        this.client = WebClient.create(
                vertx, new WebClientOptions().setMaxPoolSize(2_000).setKeepAliveTimeout(30));
    }

    /** Starts hosts, stand-ins and the configuration, and waits until queries are whole. */
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
        system.setPlatform("");
        system.fleet.start();
        for (int host = 0; host < hosts; host++) {
            system.initializeVoter(host);
            system.startHost(host);
        }
        system.awaitLeader();
        system.apply(0, "first", 0, text);
        system.awaitInForce(1);
        system.awaitWhole();
        return system;
    }

    /** Writes the platform's list, with one leaving address if it is not empty. */
    void setPlatform(String leaving) throws IOException {
        String entry = leaving.isEmpty() ? "" : "{\"address\": \"" + leaving + "\", \"state\": \"leaving\"}";
        Path fresh = folder.resolve("platform.new");
        Files.writeString(fresh, "{\"hosts\": [" + entry + "]}");
        Files.move(fresh, topology.platformFile(), StandardCopyOption.REPLACE_EXISTING);
    }

    StandInFleet fleet() {
        return fleet;
    }

    Declaration declaration() {
        return declaration;
    }

    String text() {
        return text;
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

    /** Sends a declaration and returns the reply. */
    JsonObject apply(int host, String changeId, long expected, String declarationText) {
        HttpResponse<Buffer> response = client.put(
                        address(host).getPort(), address(host).getHost(), "/v1/declaration/" + Topology.PARTNER)
                .putHeader("Authorization", "Bearer " + Topology.CREDENTIAL)
                .putHeader(OperatorApi.CHANGE_ID_HEADER, changeId)
                .putHeader(OperatorApi.EXPECTED_REVISION_HEADER, Long.toString(expected))
                .sendBuffer(Buffer.buffer(declarationText))
                .await()
                .atMost(PATIENCE);
        return response.bodyAsJsonObject();
    }

    JsonObject status(int host) {
        return client.get(address(host).getPort(), address(host).getHost(), "/v1/status")
                .send()
                .await()
                .atMost(PATIENCE)
                .bodyAsJsonObject();
    }

    /** Returns how often the hosts counted each thing on the query path. */
    Map<QueryCounter, Long> counts() {
        Map<QueryCounter, Long> counts = new EnumMap<>(QueryCounter.class);
        for (QueryCounter counter : QueryCounter.values()) {
            long sum = hosts.stream()
                    .mapToLong(host -> host.metrics().countOf(counter))
                    .sum();
            counts.put(counter, sum);
        }
        return counts;
    }

    /** Adds a line with what was counted since earlier counts. */
    void describeSince(Map<QueryCounter, Long> before, Report report) {
        StringBuilder text = new StringBuilder("counted:");
        counts().forEach((counter, count) -> {
            long since = count - before.getOrDefault(counter, 0L);
            if (since > 0) {
                text.append(' ').append(counter.code()).append(' ').append(since);
            }
        });
        report.line("%s", text);
    }

    /** Waits until every live host has a revision in force, by what each says of itself. */
    void awaitInForce(long revision) throws InterruptedException {
        long startNanos = System.nanoTime();
        while (System.nanoTime() - startNanos < PATIENCE.toNanos()) {
            boolean all = true;
            for (int host = 0; host < hosts.size(); host++) {
                all &= hosts.get(host).revision() >= revision;
            }
            if (all) {
                return;
            }
            Thread.sleep(ASK_EVERY.toMillis());
        }
        throw new IllegalStateException("revision " + revision + " did not come into force");
    }

    void awaitLeader() throws InterruptedException {
        long startNanos = System.nanoTime();
        while (!status(hosts.size() - 1).getBoolean("quorum", false)) {
            if (System.nanoTime() - startNanos > PATIENCE.toNanos()) {
                throw new IllegalStateException("no leader was elected");
            }
            Thread.sleep(ASK_EVERY.toMillis());
        }
    }

    /** Ends a host without warning, and forgets it. */
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
            throw new IllegalStateException("cannot clean up " + folder + "; delete it", left);
        }
    }

    private void initializeVoter(int host) throws IOException {
        Settings settings = SettingsReader.read(topology.settings(host)).get();
        if (settings.hasRole(Role.CONTROL)) {
            new FileLogStore(settings.controlFolder()).initialize();
        }
    }

    /** Starts a host, again if it was killed before. */
    void startHost(int host) throws IOException, InterruptedException {
        HostProcess process =
                new HostProcess(SettingsReader.read(topology.settings(host)).get(), links.apply("h" + host));
        process.start();
        hosts.add(Math.min(host, hosts.size()), process);
    }

    private void awaitWhole() throws InterruptedException {
        int shards = declaration.services().values().iterator().next().shards();
        for (int host = 0; host < hosts.size(); host++) {
            long startNanos = System.nanoTime();
            while (shardsServed(host) < shards) {
                if (System.nanoTime() - startNanos > PATIENCE.toNanos()) {
                    throw new IllegalStateException("host " + host + " does not know every shard");
                }
                Thread.sleep(ASK_EVERY.toMillis());
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
