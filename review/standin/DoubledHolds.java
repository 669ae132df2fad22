package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: half of the leaves send, after 4 in 100 of their whole answers, the beginning of a second answer.
 *
 * <p>The leaves do so in spells of 5 s. The clients send mutating requests, each with its own id, and send none again.
 */
final class DoubledHolds {
    /** The zone of each leaf; the edge machines are in the first two zones. */
    private static final int[] LEAF_ZONES = {0, 1, 2, 2};

    private static final int FAULTY_LEAVES = 2;
    /** The share of a faulty leaf's answers that are followed by more bytes. */
    private static final double GARBLED = 0.04;

    private static final int SPELLS = 12;
    private static final int SPELL_MILLIS = 5_000;
    private static final int PAUSE_BETWEEN_SPELLS_MILLIS = 1_000;

    /** Together about 60 requests a second. */
    private static final int CLIENTS = 8;

    private static final int PAUSE_MILLIS = 125;
    /** The answers by which a client is promised that its request has not run and never will. */
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private final Rig rig;
    private final Record record;
    private final Map<String, List<String>> runs = new ConcurrentHashMap<>();
    private final Map<String, Integer> statuses = new ConcurrentHashMap<>();
    private final AtomicInteger garbled = new AtomicInteger();
    private volatile boolean garbling;
    private volatile boolean over;

    private DoubledHolds(Rig rig, Record record) {
        this.rig = rig;
        this.record = record;
    }

    public static void main(String[] arguments) throws IOException {
        Rig.main(Path.of(arguments[0]), 2, (rig, record, trouble) -> new DoubledHolds(rig, record).run(trouble));
    }

    private int run(boolean trouble) throws Exception {
        for (int leaf = 0; leaf < LEAF_ZONES.length; leaf++) {
            boolean faulty = leaf < FAULTY_LEAVES;
            String zone = Deployment.ZONES.get(LEAF_ZONES[leaf]);
            rig.startLeaf("hold-desk", zone, request -> hold(request, faulty && garbling));
        }
        rig.putConfiguration(3, CONFIGURATION);
        rig.awaitReady();
        Thread.sleep(3_000);
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < CLIENTS; number++) {
            int client = number;
            Thread thread = new Thread(() -> runClient(client));
            thread.start();
            clients.add(thread);
        }
        for (int spell = 0; spell < SPELLS; spell++) {
            Thread.sleep(PAUSE_BETWEEN_SPELLS_MILLIS);
            garbling = trouble;
            Thread.sleep(SPELL_MILLIS);
            garbling = false;
        }
        over = true;
        for (Thread client : clients) {
            client.join();
        }
        Thread.sleep(1_000);
        return verdict();
    }

    private int verdict() {
        int twice = 0;
        int refused = 0;
        int served = 0;
        for (Map.Entry<String, Integer> each : statuses.entrySet()) {
            List<String> ran = runs.getOrDefault(each.getKey(), List.of());
            served += each.getValue() / 100 == 2 ? 1 : 0;
            if (ran.size() > 1) {
                twice++;
                record.summary("TWICE: request %s ran at %s; its client got %d", each.getKey(), ran, each.getValue());
            }
            if (PROMISES.contains(each.getValue()) && !ran.isEmpty()) {
                refused++;
                record.summary("also REFUSED: request %s ran at %s, yet got %d", each.getKey(), ran, each.getValue());
            }
        }
        record.summary(
                "%d requests, %d answered with success; %d answers were followed by more bytes; "
                        + "TWICE was broken %d times, REFUSED %d times",
                statuses.size(), served, garbled.get(), twice, refused);
        return served == 0 ? Rig.COULD_NOT_RUN : twice > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private void runClient(int client) {
        Deployment.Machine machine = rig.deployment().edge().get(client % 2);
        Http.Connection connection = null;
        for (int number = 0; !over; number++) {
            String id = String.format("%02x%014x", client, number);
            Http.Answer answer;
            try {
                connection = connection == null ? rig.connect(machine) : connection;
                Map<String, String> fields = new LinkedHashMap<>();
                fields.put("Host", "shelf.example");
                fields.put("Request-Id", id);
                fields.put("Deadline-Ms", "2000");
                byte[] body = ("hold copy " + id).getBytes(StandardCharsets.US_ASCII);
                record.line("client %d sends request %s to %s", client, id, machine.name());
                connection.send("POST", "/hold/" + id, fields, body);
                answer = connection.receive(3_000);
                Thread.sleep(PAUSE_MILLIS);
            } catch (IOException failure) {
                answer = Http.Answer.none(failure.toString());
            } catch (InterruptedException interrupted) {
                return;
            }
            statuses.put(id, answer.status());
            record.line("request %s got %s", id, answer.text());
            if (answer.status() == 0) {
                connection = null;
            }
        }
    }

    private void hold(Leaf.Request request, boolean faulty) throws IOException {
        request.readBody();
        runs.computeIfAbsent(request.id(), unused -> new ArrayList<>()).add(request.leaf());
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(text("HTTP/1.1 200 OK\r\nRequest-Id: " + request.id() + "\r\nServer-Stamp: " + request.stamp(200)
                + "\r\nContent-Length: 5\r\n\r\nheld\n"));
        byte[] draw = Leaf.sha256(request.id() + request.leaf());
        int cut = 0;
        if (faulty && (draw[0] & 0xff) < 256 * GARBLED) {
            byte[] second = text("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nServer-Load: 4,16,4\r\n"
                    + "Content-Type: text/plain\r\nRequest-Id: " + request.id() + "\r\nContent-Length: 0\r\n\r\n");
            // Any cut is as likely as any other.
            cut = 1 + Math.floorMod(draw[1] * 256 + (draw[2] & 0xff), second.length - 1);
            bytes.write(second, 0, cut);
            garbled.incrementAndGet();
        }
        record.line(
                "leaf %s runs request %s and answers 200%s",
                request.leaf(), request.id(), cut > 0 ? "; " + cut + " bytes of a second answer follow" : "");
        request.socket().getOutputStream().write(bytes.toByteArray());
    }

    private static byte[] text(String head) {
        return head.getBytes(StandardCharsets.US_ASCII);
    }

    private static final String CONFIGURATION =
            "{\"version\":3,\"routes\":[{\"name\":\"r-hold\",\"host\":\"shelf.example\",\"prefix\":\"/hold/\","
                    + "\"kind\":\"mutating\",\"timeoutMs\":2000,\"goalMs\":382,\"priority\":2,\"service\":\"hold-desk\","
                    + "\"attempts\":2}],\"services\":[{\"name\":\"hold-desk\",\"healthPath\":\"/health\",\"maxConns\":42,"
                    + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
                    + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}
