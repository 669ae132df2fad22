package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Queries over 20 shards of two leaves each, and the check of their answers by the rule MIXED. */
final class Search {
    static final int RECORDS = 12;

    private static final int SHARDS = 20;
    private static final int COPIES = 2;
    private static final int TOP = 10;
    private static final double LEAST = 0.75;
    private static final int EDGES = 2;
    private static final int PAUSE_MILLIS = 20;

    private final Rig rig;
    private final Record record;
    private final List<Leaf> leaves = new ArrayList<>();

    Search(Rig rig, Record record) {
        this.rig = rig;
        this.record = record;
    }

    /** Starts the leaves, puts the configuration, and waits until every edge machine is ready. */
    void start(Leaf.Work work) throws IOException, InterruptedException {
        for (int shard = 0; shard < SHARDS; shard++) {
            for (int copy = 0; copy < COPIES; copy++) {
                leaves.add(rig.startLeaf("s" + shard, work));
            }
        }
        rig.putConfiguration(3, configuration(3));
        rig.awaitReady();
        Thread.sleep(3_000);
    }

    List<Leaf> leaves() {
        return leaves;
    }

    /** Sends queries one after the other on kept connections, and checks each success; returns the exit code. */
    int query(int millis) throws IOException, InterruptedException {
        List<Http.Connection> connections = new ArrayList<>();
        for (int edge = 0; edge < EDGES; edge++) {
            connections.add(rig.connect(rig.deployment().edge().get(edge)));
        }
        int broken = 0;
        int served = 0;
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        int number = 0;
        for (; System.nanoTime() - endNanos < 0; number++) {
            int edge = number % EDGES;
            String id = String.format("%016x", 0x5eed0000L + number);
            Map<String, String> fields = new LinkedHashMap<>();
            fields.put("Host", "search.example");
            fields.put("Request-Id", id);
            fields.put("Deadline-Ms", "2000");
            record.line("request %s sent to %s", id, rig.deployment().edge().get(edge).name());
            connections.get(edge).send("GET", "/all/" + number, fields, new byte[0]);
            Http.Answer answer = connections.get(edge).receive(3_000);
            if (answer.status() == 0) {
                record.line("request %s: %s", id, answer.text());
                connections.get(edge).close();
                connections.set(edge, rig.connect(rig.deployment().edge().get(edge)));
                continue;
            }
            boolean success = answer.status() / 100 == 2;
            String fault = success ? faultOf(answer, id) : "";
            served += success ? 1 : 0;
            broken += fault.isEmpty() ? 0 : 1;
            record.line(
                    "request %s got %d, Missing-Parts: %s%s",
                    id,
                    answer.status(),
                    answer.head().field("Missing-Parts"),
                    fault.isEmpty() ? "" : "; MIXED: " + fault);
            Thread.sleep(PAUSE_MILLIS);
        }
        connections.forEach(Http.Connection::close);
        record.summary("%d requests, %d answered with success, %d of these break MIXED", number, served, broken);
        return served == 0 ? Rig.COULD_NOT_RUN : broken > 0 ? Rig.BROKEN : Rig.HELD;
    }

    /** Returns what is wrong with a success; empty if nothing is. */
    private static String faultOf(Http.Answer answer, String id) {
        String named = answer.head().field("Part-Stamps");
        List<String> stamps = named.isEmpty() ? List.of() : Arrays.asList(named.split(", *"));
        Set<String> services = new HashSet<>();
        ByteArrayOutputStream records = new ByteArrayOutputStream();
        for (String stamp : stamps) {
            String[] parts = stamp.split("\\.");
            if (parts.length != 4) {
                return "Part-Stamps holds \"" + stamp + "\", which is no signature";
            }
            if (!parts[2].equals(id)) {
                return "Part-Stamps holds \"" + stamp + "\", the signature of another request's answer";
            }
            if (!parts[3].equals("200")) {
                return "Part-Stamps holds \"" + stamp + "\", the signature of a failure";
            }
            if (!services.add(parts[0])) {
                return "Part-Stamps holds two of the service " + parts[0];
            }
            records.writeBytes(Leaf.recordsOf(stamp, RECORDS));
        }
        String missing = answer.head().field("Missing-Parts");
        int missingCount = missing.isEmpty() ? 0 : Integer.parseInt(missing);
        if (stamps.size() + missingCount != SHARDS) {
            return stamps.size() + " parts and " + missingCount + " missing";
        }
        if (stamps.size() < LEAST * SHARDS) {
            return "only " + stamps.size() + " parts are in";
        }
        byte[] expected = Leaf.greatest(records.toByteArray(), TOP);
        return Arrays.equals(expected, answer.body()) ? "" : "the body is not the greatest records of the named parts";
    }

    private static String configuration(long version) {
        List<String> shards = new ArrayList<>();
        List<String> services = new ArrayList<>();
        for (int shard = 0; shard < SHARDS; shard++) {
            shards.add("\"s" + shard + "\"");
            services.add("{\"name\":\"s" + shard
                    + "\",\"healthPath\":\"/health\",\"maxConns\":26,\"protocol\":\"h1\",\"tls\":false}");
        }
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-all\",\"host\":\"search.example\","
                + "\"prefix\":\"/all/\",\"kind\":\"idempotent\",\"timeoutMs\":2000,\"goalMs\":200,\"priority\":1,"
                + "\"fanout\":[" + String.join(",", shards) + "],\"attempts\":2,\"topK\":" + TOP + ",\"minVersion\":"
                + LEAST + "}],\"services\":[" + String.join(",", services) + "],\"limits\":{\"maxHeaderBytes\":16384,"
                + "\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }
}
