import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Entry hosts that hold the connections to shards are stopped and started in turn while leafs refuse part of their
 * requests; counts the arrivals at each shard past the first of each request.
 */
final class MovedHolders {
    private static final int HOSTS = 6;
    private static final int SHARDS = 20;
    private static final int LEAVES = 3 * SHARDS;
    private static final int CLIENTS = 20;
    private static final long PAUSE_MILLIS = 2_200;
    private static final double GREY_FAILS = 0.6;
    private static final long GREY_MILLIS = 9_000;
    private static final long ROLL_GAP_MILLIS = 2_000;
    private static final long CONTACT_MILLIS = 4_000;
    private static final double RETRY_RATIO = 0.2;
    private static final double RETRY_SLACK = 54;
    private static final double RETRY_WINDOW_S = 10;

    private static volatile boolean grey;
    private static volatile boolean ended;

    private record Event(double at, String id) {}

    private MovedHolders() {}

    private static String configuration() {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-one\",\"host\":\"wallet.example\","
                + "\"prefix\":\"/one/\",\"kind\":\"idempotent\",\"timeoutMs\":2000,\"goalMs\":229,\"priority\":2,"
                + "\"fanout\":[" + shards("\"%s\"") + "],\"attempts\":2,\"topK\":50,\"minVersion\":0.75}],\"services\":["
                + shards("{\"name\":\"%s\",\"healthPath\":\"/health\",\"maxConns\":26,\"protocol\":\"h1\",\"tls\":false}")
                + "],\"limits\":{\"maxHeaderBytes\":16384,"
                + "\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }

    private static String shards(String format) {
        return java.util.stream.IntStream.range(0, SHARDS).mapToObj(i -> String.format(format, "s" + i))
                .collect(java.util.stream.Collectors.joining(","));
    }

    public static void main(String[] arguments) throws Exception {
        int result = Rig.COULD_NOT_RUN;
        try (Rig rig = new Rig(Path.of(arguments[0]), Path.of(arguments[1]), 3, HOSTS)) {
            result = run(rig, System.getenv().getOrDefault("TROUBLE", "1"));
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(result);
    }

    private static double now() {
        return System.nanoTime() / 1e9;
    }

    private static int run(Rig rig, String trouble) throws Exception {
        List<Event> sent = new CopyOnWriteArrayList<>();
        List<Event> arrived = new CopyOnWriteArrayList<>();
        Random random = new Random(5);
        rig.startAll();
        for (int i = 0; i < LEAVES; i++) {
            // Of every shard but each fifth all leafs, of that one none: 48 of 60.
            boolean mayBeGrey = i / 3 % 5 != 4;
            rig.startLeaf("s" + i / 3, i % 3, (leaf, request, out) -> {
                String id = request.header("request-id");
                arrived.add(new Event(now(), id + "@" + leaf.service));
                boolean refuses = grey && mayBeGrey && random.nextDouble() < GREY_FAILS;
                rig.log("%s %s at %s", refuses ? "refuse" : "run", id, leaf.id);
                if (refuses) {
                    leaf.reply(out, 503, request, "Not-Executed: 1\r\nServer-Load: 1,0,2\r\n", new byte[0]);
                } else {
                    Thread.sleep(20);
                    leaf.reply(out, 200, request,
                            "Server-Stamp: " + leaf.stamp(request) + "\r\nServer-Load: 1,0,2\r\n", new byte[160]);
                }
            });
        }
        rig.putConfiguration(configuration(), 20_000);
        rig.awaitLeaves(10_000);
        rig.awaitReady(30_000);
        Balancer balancer = new Balancer(rig);
        Thread.sleep(CONTACT_MILLIS);
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread client = new Thread(() -> sendRequests(rig, balancer, number, sent));
            client.setDaemon(true);
            client.start();
        }
        Thread.sleep(20_000);
        grey = !trouble.equals("0");
        rig.log("leafs %s", grey ? "refuse part of their requests" : "stay sound");
        long start = System.nanoTime();
        Thread.sleep(1_000);
        List<Thread> rolls = new ArrayList<>();
        if (trouble.equals("1")) {
            for (Rig.Host host : rig.entries) {
                Thread roll = new Thread(() -> restart(rig, host));
                roll.start();
                rolls.add(roll);
                Thread.sleep(ROLL_GAP_MILLIS);
            }
        }
        Thread.sleep(Math.max(0, GREY_MILLIS - (System.nanoTime() - start) / 1_000_000));
        grey = false;
        rig.log("leafs are sound again");
        for (Thread roll : rolls) {
            roll.join();
        }
        Thread.sleep(8_000);
        ended = true;
        Thread.sleep(1_000);
        return judge(rig, sent, arrived);
    }

    private static void restart(Rig rig, Rig.Host host) {
        try {
            host.signal("TERM");
            host.awaitEnd(6_000);
            if (host.isAlive()) {
                host.signal("KILL");
                host.awaitEnd(2_000);
            }
            rig.log("%s has ended", host.name);
            host.start();
        } catch (IOException | InterruptedException failure) {
            throw new IllegalStateException(failure);
        }
    }

    private static void sendRequests(Rig rig, Balancer balancer, int number, List<Event> sent) {
        Random random = new Random(number);
        Rig.Client client = null;
        while (!ended) {
            double deadline = now() + 2;
            // One retry, as the clients of the sheet make; each attempt has its own identifier.
            for (int attempt = 0; attempt < 2; attempt++) {
                String id = rig.nextRequestId();
                double retryAfter = 0.05;
                try {
                    if (client == null) {
                        client = new Rig.Client(balancer.choose(number + random.nextInt(HOSTS)).front(), 6_500);
                    }
                    sent.add(new Event(now(), id));
                    rig.log("send %s", id);
                    long left = (long) ((deadline - now()) * 1_000);
                    Rig.Answer answer = client.send("GET", "/one/" + id, "wallet.example",
                            Map.of("Request-Id", id, "Deadline-Ms", Long.toString(Math.max(1, left))), new byte[0]);
                    rig.log("answer %s: %d, parts missing: %s", id, answer.status(),
                            answer.headers().getOrDefault("missing-parts", "0"));
                    if ("close".equals(answer.headers().get("connection"))) {
                        client.close();
                        client = null;
                    }
                    if (answer.status() == 200) {
                        break;
                    }
                    retryAfter = Math.min((deadline - now()) / 3,
                            Double.parseDouble(answer.headers().getOrDefault("retry-after", "0.05")));
                } catch (IOException failure) {
                    rig.log("no answer %s: %s", id, failure.getMessage());
                    client = null;
                }
                sleep((long) (1_000 * Math.max(0, retryAfter)));
            }
            sleep((long) (PAUSE_MILLIS * (0.5 + random.nextDouble())));
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private static int judge(Rig rig, List<Event> sent, List<Event> arrived) {
        Set<String> known = new HashSet<>();
        List<Event> extra = new ArrayList<>();
        for (Event event : arrived.stream().sorted((a, b) -> Double.compare(a.at, b.at)).toList()) {
            if (!known.add(event.id)) {
                extra.add(event);
            }
        }
        double worst = -1e9;
        String text = "";
        for (Event last : extra) {
            String shard = last.id.substring(last.id.indexOf('@'));
            double from = last.at - RETRY_WINDOW_S;
            long extras = count(extra.stream().filter(e -> e.id.endsWith(shard)).toList(), from, last.at);
            long requests = Math.max(count(sent, from, last.at), Math.max(
                    count(sent, from - RETRY_WINDOW_S, from),
                    count(sent, from - RETRY_WINDOW_S / 2, last.at - RETRY_WINDOW_S / 2)));
            double allowed = RETRY_RATIO * requests + RETRY_SLACK;
            if (extras - allowed > worst) {
                worst = extras - allowed;
                text = String.format("worst window: %d arrivals past the first, %d requests, allowed %.1f", extras,
                        requests, allowed);
            }
        }
        rig.log("sent %d, arrived %d; %s", sent.size(), arrived.size(), text);
        System.out.println("sent " + sent.size() + ", arrived " + arrived.size() + "; " + text);
        return worst > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private static long count(List<Event> events, double from, double to) {
        return events.stream().filter(event -> event.at > from && event.at <= to).count();
    }

    /** The platform's addresses: asks each node every second whether it is ready; two misses take it out. */
    private static final class Balancer {
        private final Rig rig;
        private final Map<Rig.Host, AtomicInteger> misses = new java.util.concurrent.ConcurrentHashMap<>();

        Balancer(Rig rig) {
            this.rig = rig;
            rig.entries.forEach(host -> misses.put(host, new AtomicInteger()));
            for (Rig.Host host : rig.entries) {
                Thread poller = new Thread(() -> {
                    while (!ended) {
                        if (host.isReady()) {
                            misses.get(host).set(0);
                        } else {
                            misses.get(host).incrementAndGet();
                        }
                        sleep(1_000);
                    }
                });
                poller.setDaemon(true);
                poller.start();
            }
        }

        Rig.Host choose(int hash) {
            List<Rig.Host> in = rig.entries.stream().filter(host -> misses.get(host).get() < 2).toList();
            List<Rig.Host> used = 2 * in.size() < HOSTS ? rig.entries : in;
            return used.get(Math.floorMod(hash, used.size()));
        }
    }
}
