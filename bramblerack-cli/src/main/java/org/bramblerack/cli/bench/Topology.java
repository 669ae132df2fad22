package org.bramblerack.cli.bench;

import com.google.common.hash.Hashing;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Generates the host settings and the declaration of a {@link BenchSystem}.
 *
 * <p>Immutable and safe for use by many threads.
 */
final class Topology {
    static final String PARTNER = "bench";
    static final String CREDENTIAL = "bench-credential";

    private final int hosts;
    private final int zones;
    private final int voters;
    private final Path folder;
    private final List<Integer> callerPorts;
    private final List<Integer> peerPorts;

    private Topology(int hosts, int zones, int voters, Path folder) throws IOException {
        this.hosts = hosts;
        this.zones = zones;
        this.voters = voters;
        this.folder = folder;
        this.callerPorts = freePorts(hosts);
        this.peerPorts = freePorts(hosts);
    }

    static Topology create(int hosts, int zones, int voters, Path folder) throws IOException {
        return new Topology(hosts, zones, voters, folder);
    }

    /** Returns the path of the platform's list of hosts. */
    Path platformFile() {
        return folder.resolve("platform.json");
    }

    int hosts() {
        return hosts;
    }

    String settings(int host) {
        StringBuilder text = new StringBuilder("{ \"formatVersion\": 1,");
        text.append("\"host\": \"h").append(host).append("\", \"region\": \"r\", ");
        text.append("\"zone\": \"").append(zone(host)).append("\", ");
        text.append("\"roles\": [\"entry\"")
                .append(host < voters ? ", \"control\"" : "")
                .append("], ");
        text.append("\"callerAddress\": \"127.0.0.1:")
                .append(callerPorts.get(host))
                .append("\", ");
        text.append("\"peerAddress\": \"127.0.0.1:").append(peerPorts.get(host)).append("\", ");
        text.append("\"dataFolder\": \"").append(folder.resolve("h" + host)).append("\", \"workers\": 2, ");
        text.append("\"platform\": { \"file\": \"").append(platformFile()).append("\" }, ");
        String digest =
                Hashing.sha256().hashString(CREDENTIAL, StandardCharsets.UTF_8).toString();
        text.append("\"credentials\": [{ \"partner\": \"bench\", \"sha256\": \"")
                .append(digest);
        text.append("\" }], \"hosts\": [");
        for (int each = 0; each < hosts; each++) {
            text.append("{ \"name\": \"h")
                    .append(each)
                    .append("\", \"zone\": \"")
                    .append(zone(each));
            text.append("\", \"peerAddress\": \"127.0.0.1:").append(peerPorts.get(each));
            text.append("\", \"control\": ").append(each < voters).append(" },");
        }
        return text.append("] }").toString();
    }

    /** Returns a declaration of a sharded service with two replicas of each shard and a pool of three upstreams. */
    String declaration(int shards, int slots, int deadlineMillis) throws IOException {
        List<Integer> ports = freePorts(2 * shards + 3);
        StringBuilder text = new StringBuilder("{ \"formatVersion\": 1, \"partner\": \"bench\", \"services\": [");
        text.append("{ \"name\": \"search\", \"kind\": \"sharded\", \"shards\": ")
                .append(shards);
        text.append(", \"slots\": ").append(slots).append(", \"connections\": 25, \"connectionLingerMs\": 0, ");
        text.append("\"classes\": [");
        for (String name : List.of("urgent", "normal")) {
            text.append("{ \"name\": \"")
                    .append(name)
                    .append("\", \"priority\": \"")
                    .append(name);
            text.append("\", \"deadlineMs\": ").append(deadlineMillis).append(", \"prefer\": \"coverage\" },");
        }
        text.append("], \"upstreams\": [");
        for (int replica = 0; replica < 2 * shards; replica++) {
            text.append("{ \"name\": \"s").append(replica / 2).append(replica % 2 == 0 ? "a" : "b");
            text.append("\", \"shard\": ").append(replica / 2);
            text.append(", \"zone\": \"").append(zone(replica / 2 + replica)).append("\", \"address\": \"127.0.0.1:");
            text.append(ports.get(replica)).append("\" },");
        }
        text.append("] }, { \"name\": \"pool\", \"kind\": \"pooled\", \"slots\": 4, \"connections\": 100, ");
        text.append("\"connectionLingerMs\": 0, \"operations\": [{ \"name\": \"run\", \"priority\": \"urgent\", ");
        text.append("\"deadlineMs\": 3000 }], \"upstreams\": [");
        for (int member = 0; member < 3; member++) {
            text.append("{ \"name\": \"p")
                    .append(member)
                    .append("\", \"zone\": \"")
                    .append(zone(member));
            text.append("\", \"address\": \"127.0.0.1:")
                    .append(ports.get(2 * shards + member))
                    .append("\" },");
        }
        return text.append("] }] }").toString();
    }

    private String zone(int number) {
        return "z" + number % zones;
    }

    private static List<Integer> freePorts(int count) throws IOException {
        List<Integer> ports = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            ports.add(FreePorts.next());
        }
        return ports;
    }
}
