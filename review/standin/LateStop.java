package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Case: a planned stop of an edge machine; clients send on open connections 3.04 s after the SIGTERM. */
final class LateStop {
    private static final int CLIENTS = 8;
    private static final int LEAVES = 7;
    /** Well within the client's deadline and the route's timeout of 6 s. */
    private static final int WORK_MILLIS = 2_300;
    /** More than 3 s: the rule excuses what was sent earlier, if its leaf is at work in the last second of the grace. */
    private static final int SENT_AFTER_TERM_MILLIS = 3_040;

    private static final int DEADLINE_SECONDS = 6;

    private LateStop() {}

    public static void main(String[] arguments) throws IOException {
        Rig.main(Path.of(arguments[0]), 2, LateStop::run);
    }

    private static int run(Rig rig, Record record, boolean trouble) throws Exception {
        Map<String, String> runs = new ConcurrentHashMap<>();
        for (int copy = 0; copy < LEAVES; copy++) {
            rig.startLeaf("wallet-app", request -> {
                request.readBody();
                boolean isLong = request.path().contains("history");
                runs.put(request.id(), request.leaf());
                record.line("leaf %s begins request %s", request.leaf(), request.id());
                if (isLong) {
                    Thread.sleep(WORK_MILLIS);
                }
                request.answerSigned(200, Leaf.recordsOf(request.stamp(200), 12));
                record.line("leaf %s has answered request %s", request.leaf(), request.id());
            });
        }
        rig.putConfiguration(3, CONFIGURATION);
        rig.awaitReady();
        Thread.sleep(5_000);
        Deployment.Machine stopped = rig.deployment().edge().get(0);
        List<Http.Connection> connections = new ArrayList<>();
        for (int client = 0; client < CLIENTS; client++) {
            Http.Connection connection = rig.connect(stopped);
            connection.send("GET", "/balance/" + client, fields("0a" + client), new byte[0]);
            record.line("client %d: %s", client, connection.receive(2_000).status());
            connections.add(connection);
        }
        if (trouble) {
            stopped.signal("TERM");
        }
        // The signal has been sent by now, so that the requests are sent still later after it.
        long startNanos = System.nanoTime();
        sleepUntil(startNanos, SENT_AFTER_TERM_MILLIS);
        List<Thread> waiting = new ArrayList<>();
        int[] cut = new int[CLIENTS];
        for (int client = 0; client < CLIENTS; client++) {
            int number = client;
            String id = "0b" + client;
            Http.Connection connection = connections.get(client);
            record.line("client %d sends request %s on its open connection", client, id);
            connection.send("GET", "/balance/history/" + client, fields(id), new byte[0]);
            long sentNanos = System.nanoTime();
            Thread waiter = new Thread(() -> {
                Http.Answer answer = connection.receive(8_000);
                double waited = (System.nanoTime() - sentNanos) / 1e9;
                record.line("client %d: request %s after %.3f s: %s", number, id, waited, answer.text());
                boolean passedOn = runs.containsKey(id);
                if (answer.status() == 0 && passedOn && waited < DEADLINE_SECONDS) {
                    cut[number] = 1;
                    record.summary("LOST: request %s was passed on to %s, and its connection closed without an answer", id, runs.get(id));
                }
            });
            waiter.start();
            waiting.add(waiter);
        }
        for (Thread waiter : waiting) {
            waiter.join();
        }
        if (trouble) {
            stopped.process().waitFor();
            record.summary("%s ended %.3f s after the SIGTERM", stopped.name(), (System.nanoTime() - startNanos) / 1e9);
        }
        int broken = 0;
        for (int each : cut) {
            broken += each;
        }
        record.summary("%d requests, %d of them break LOST", CLIENTS, broken);
        return broken > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private static void sleepUntil(long startNanos, long millis) throws InterruptedException {
        long left = millis - (System.nanoTime() - startNanos) / 1_000_000;
        if (left > 0) {
            Thread.sleep(left);
        }
    }

    private static Map<String, String> fields(String id) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("Host", "wallet.example");
        fields.put("Request-Id", id);
        fields.put("Deadline-Ms", "6000");
        return fields;
    }

    private static final String CONFIGURATION =
            "{\"version\":3,\"routes\":[{\"name\":\"r-balance\",\"host\":\"wallet.example\",\"prefix\":\"/balance/\","
                    + "\"kind\":\"idempotent\",\"timeoutMs\":6000,\"goalMs\":610,\"priority\":2,\"service\":\"wallet-app\","
                    + "\"attempts\":2}],\"services\":[{\"name\":\"wallet-app\",\"healthPath\":\"/health\",\"maxConns\":100,"
                    + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
                    + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}
