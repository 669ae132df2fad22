package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Case: leaves fail part of the requests that they have run, with a signed 503 or 429 that does not say Not-Executed. */
final class FailedRuns {
    private static final int REQUESTS = 120;
    /** They fail this share of their requests; the pages name .4. */
    private static final double FAILED_SHARE = 0.4;
    /** The answers by which a client is promised that its request has not run and never will. */
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private FailedRuns() {}

    public static void main(String[] arguments) throws IOException {
        Rig.main(Path.of(arguments[0]), 2, FailedRuns::run);
    }

    private static int run(Rig rig, Record record, boolean trouble) throws Exception {
        Map<String, String> runs = new ConcurrentHashMap<>();
        for (int copy = 0; copy < 3; copy++) {
            // One leaf of three fails.
            boolean failing = trouble && copy == 0;
            rig.startLeaf("hold-desk", request -> hold(request, record, runs, failing));
        }
        rig.putConfiguration(3, CONFIGURATION);
        rig.awaitReady();
        Thread.sleep(3_000);
        int broken = 0;
        int served = 0;
        for (int number = 0; number < REQUESTS; number++) {
            Deployment.Machine machine = rig.deployment().edge().get(number % 2);
            String id = String.format("%016x", 0x5eed0000L + number);
            Map<String, String> fields = new LinkedHashMap<>();
            fields.put("Host", "shelf.example");
            fields.put("Request-Id", id);
            fields.put("Deadline-Ms", "2000");
            try (Http.Connection connection = rig.connect(machine)) {
                connection.send("POST", "/hold/" + number, fields, ("copy " + number).getBytes(StandardCharsets.US_ASCII));
                Http.Answer answer = connection.receive(3_000);
                String ran = runs.getOrDefault(id, "");
                served += answer.status() / 100 == 2 ? 1 : 0;
                record.line("request %s got %s; ran at: %s", id, answer.text(), ran.isEmpty() ? "no leaf" : ran);
                if (PROMISES.contains(answer.status()) && !ran.isEmpty()) {
                    broken++;
                    record.line("REFUSED: request %s got %d, but ran at %s", id, answer.status(), ran);
                }
            }
        }
        record.line("%d requests, %d answered with success, %d break REFUSED", REQUESTS, served, broken);
        if (served == 0) {
            return Rig.COULD_NOT_RUN;
        }
        return broken > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private static void hold(Leaf.Request request, Record record, Map<String, String> runs, boolean failing)
            throws IOException {
        request.readBody();
        runs.merge(request.id(), request.leaf(), (first, second) -> first + " and " + second);
        int draw = Math.floorMod(Leaf.sha256(request.id())[0], 10);
        boolean fails = failing && draw < 10 * FAILED_SHARE;
        int status = fails ? (draw % 2 == 0 ? 503 : 429) : 200;
        record.line("leaf %s ran request %s and answers %d", request.leaf(), request.id(), status);
        request.answerSigned(status, (fails ? "the printer of the desk did not answer\n" : "held\n").getBytes(StandardCharsets.US_ASCII));
    }

    private static final String CONFIGURATION =
            "{\"version\":3,\"routes\":[{\"name\":\"r-hold\",\"host\":\"shelf.example\",\"prefix\":\"/hold/\","
                    + "\"kind\":\"mutating\",\"timeoutMs\":2000,\"goalMs\":382,\"priority\":2,\"service\":\"hold-desk\","
                    + "\"attempts\":2}],\"services\":[{\"name\":\"hold-desk\",\"healthPath\":\"/health\",\"maxConns\":42,"
                    + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
                    + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}
