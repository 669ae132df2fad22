import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** A configuration lowers {@code coldPerS}; then a leaf turns cold. Counts the requests that it gets meanwhile. */
final class LoweredColdRate {
    private static final long COLD_MILLIS = 3_000;
    private static final double OLD_COLD_PER_S = 120;
    private static final double COLD_PER_S = 5;
    private static final double COLD_EXCESS = 1.5;
    private static final double COLD_SLACK = 5;
    private static final long CONFIG_APPLY_MILLIS = 4_000;
    private static final int CLIENTS = 60;
    private static final long PAUSE_MILLIS = 200;

    private static volatile boolean ended;

    private record Arrival(double sent, double arrived, long coldLeftMillis) {}

    private LoweredColdRate() {}

    private static String configuration(long version, double coldPerS) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-one\",\"host\":\"wallet.example\",\"prefix\":\"/one/\","
                + "\"kind\":\"idempotent\",\"timeoutMs\":3000,\"goalMs\":384,\"priority\":2,\"service\":\"one\","
                + "\"attempts\":2}],\"services\":[{\"name\":\"one\",\"healthPath\":\"/health\",\"maxConns\":410,"
                + "\"protocol\":\"h1\",\"tls\":false,\"coldS\":" + COLD_MILLIS / 1_000 + ",\"coldPerS\":" + coldPerS
                + "}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
                + "\"idleTimeoutMs\":15000}}";
    }

    public static void main(String[] arguments) throws Exception {
        int result = Rig.COULD_NOT_RUN;
        Rig.extraSettings = ",\"coldFactor\":" + COLD_EXCESS + ",\"coldSlack\":" + COLD_SLACK;
        try (Rig rig = new Rig(Path.of(arguments[0]), Path.of(arguments[1]), 3, 3)) {
            result = run(rig, !"0".equals(System.getenv("TROUBLE")));
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(result);
    }

    private static double now() {
        return System.nanoTime() / 1e9;
    }

    private static int run(Rig rig, boolean trouble) throws Exception {
        Map<String, Double> sent = new ConcurrentHashMap<>();
        List<Arrival> whileCold = new CopyOnWriteArrayList<>();
        Rig.Work work = (leaf, request, out) -> {
            String id = request.header("request-id");
            long coldLeft = leaf.coldLeftMillis();
            rig.log("run %s at %s, cold for %d ms more", id, leaf.id, coldLeft);
            if (coldLeft > 0) {
                whileCold.add(new Arrival(sent.get(id), now(), coldLeft));
            }
            Thread.sleep(20);
            leaf.answer(out, request, new byte[1_500]);
        };
        rig.startAll();
        Rig.Leaf last = rig.startLeaf("one", 0, work);
        rig.putConfiguration(configuration(7, trouble ? OLD_COLD_PER_S : COLD_PER_S), 20_000);
        rig.awaitLeaves(10_000);
        rig.awaitReady(20_000);
        Thread.sleep(6_000);
        if (trouble) {
            rig.putConfiguration(configuration(9, COLD_PER_S), 10_000);
        }
        Thread.sleep(CONFIG_APPLY_MILLIS + 1_000);
        last.turnCold(COLD_MILLIS);
        rig.log("%s turns cold for %d ms, and reports it", last.id, COLD_MILLIS);
        Thread.sleep(500);
        for (int i = 0; i < CLIENTS; i++) {
            Rig.Host host = rig.entries.get(i % rig.entries.size());
            Thread client = new Thread(() -> sendRequests(rig, host, sent));
            client.setDaemon(true);
            client.start();
        }
        Thread.sleep(5_000);
        ended = true;
        return judge(rig, whileCold);
    }

    private static void sendRequests(Rig rig, Rig.Host host, Map<String, Double> sent) {
        Rig.Client client = null;
        while (!ended) {
            String id = rig.nextRequestId();
            try {
                if (client == null) {
                    client = new Rig.Client(host.front(), 3_500);
                }
                sent.put(id, now());
                rig.log("send %s", id);
                Rig.Answer answer = client.send("GET", "/one/" + id, "wallet.example",
                        Map.of("Request-Id", id, "Deadline-Ms", "3000"), new byte[0]);
                rig.log("answer %s: %d", id, answer.status());
                Thread.sleep(PAUSE_MILLIS);
            } catch (IOException failure) {
                rig.log("no answer %s: %s", id, failure.getMessage());
                client = null;
            } catch (InterruptedException stopped) {
                return;
            }
        }
    }

    private static int judge(Rig rig, List<Arrival> whileCold) {
        double allowed = COLD_PER_S * COLD_EXCESS + COLD_SLACK;
        long most = 0;
        long coldLeft = 0;
        for (Arrival first : new ArrayList<>(whileCold)) {
            long count = whileCold.stream()
                    .filter(other -> other.sent >= first.sent && other.arrived < first.sent + 1)
                    .count();
            if (count > most) {
                most = count;
                coldLeft = first.coldLeftMillis;
            }
        }
        String text = String.format("most requests in one second at the cold leaf: %d (cold for %d ms more at the first), "
                + "allowed %.1f; requests while cold: %d", most, coldLeft, allowed, whileCold.size());
        rig.log("%s", text);
        System.out.println(text);
        return most > allowed ? Rig.BROKEN : Rig.HELD;
    }
}
