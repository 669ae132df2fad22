import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A configuration raises {@code maxBodyBytes}; clients that have kept their connections send bodies that the new limit
 * allows and the old one did not.
 */
final class RaisedLimits {
    private static final int CONNECTIONS_PER_HOST = 10;
    private static final int OLD_LIMIT = 16_384;
    private static final int NEW_LIMIT = 262_144;
    private static final int BODY_BYTES = 20_000;
    private static final long CONFIG_APPLY_MILLIS = 3_000;
    private static final long CONTACT_MILLIS = 4_000;
    private static final int ROUNDS = 4;

    private RaisedLimits() {}

    private static String configuration(long version, int maxBodyBytes) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-one\",\"host\":\"shop.example\","
                + "\"prefix\":\"/one/\",\"kind\":\"mutating\",\"timeoutMs\":2000,\"goalMs\":600,\"priority\":2,"
                + "\"service\":\"one\",\"attempts\":2}],\"services\":[{\"name\":\"one\",\"healthPath\":\"/health\","
                + "\"maxConns\":100,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
                + "\"maxBodyBytes\":" + maxBodyBytes + ",\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = Rig.COULD_NOT_RUN;
        try (Rig rig = new Rig(Path.of(arguments[0]), Path.of(arguments[1]), 3, 2)) {
            result = run(rig, trouble);
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(result);
    }

    private static int run(Rig rig, boolean trouble) throws Exception {
        rig.startAll();
        for (int i = 0; i < 3; i++) {
            rig.startLeaf("one", i, (leaf, request, out) -> {
                rig.log("run %s at %s, %d bytes", request.header("request-id"), leaf.id, request.body().length);
                leaf.answer(out, request, "done".getBytes());
            });
        }
        rig.putConfiguration(configuration(7, trouble ? OLD_LIMIT : NEW_LIMIT), 20_000);
        rig.awaitLeaves(10_000);
        rig.awaitReady(20_000);
        Thread.sleep(CONTACT_MILLIS);
        List<Rig.Client> kept = new ArrayList<>();
        List<Integer> statuses = new ArrayList<>();
        for (Rig.Host host : rig.entries) {
            for (int i = 0; i < CONNECTIONS_PER_HOST; i++) {
                kept.add(new Rig.Client(host.front(), 3_000));
            }
        }
        for (Rig.Client client : kept) {
            send(rig, client, 1_000, statuses);
        }
        if (trouble) {
            rig.putConfiguration(configuration(9, NEW_LIMIT), 10_000);
        }
        Thread.sleep(CONFIG_APPLY_MILLIS + 1_000);
        List<Rig.Client> closed = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            for (Rig.Client client : kept) {
                if (!closed.contains(client) && !send(rig, client, BODY_BYTES, statuses)) {
                    closed.add(client);
                }
            }
        }
        // A new connection on each host, for comparison.
        for (Rig.Host host : rig.entries) {
            try (Rig.Client fresh = new Rig.Client(host.front(), 3_000)) {
                send(rig, fresh, BODY_BYTES, statuses);
            }
        }
        long own4xx = statuses.stream()
                .filter(status -> status >= 300 && status < 500)
                .filter(status -> status != 408 && status != 421 && status != 429)
                .count();
        double allowed = 5 + statuses.size() / 500.0;
        rig.log("requests %d, of them ended with a 3xx or 4xx of the system %d, allowed %.1f", statuses.size(), own4xx,
                allowed);
        System.out.printf("requests %d, refused with 4xx %d, allowed %.1f%n", statuses.size(), own4xx, allowed);
        return own4xx > allowed ? Rig.BROKEN : Rig.HELD;
    }

    /** Sends one request; returns false if the connection is closed after it. */
    private static boolean send(Rig rig, Rig.Client client, int bytes, List<Integer> statuses) throws Exception {
        String id = rig.nextRequestId();
        Rig.Answer answer = client.send(
                "POST", "/one/a", "shop.example", Map.of("Request-Id", id, "Deadline-Ms", "2000"), new byte[bytes]);
        statuses.add(answer.status());
        rig.log("request %s with a body of %d bytes: %d", id, bytes, answer.status());
        boolean keeps = !"close".equals(answer.headers().get("connection"));
        if (!keeps) {
            client.close();
        }
        return keeps;
    }
}
