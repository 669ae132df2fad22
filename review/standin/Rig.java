package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A deployment with leaves that send heartbeats, an operator and clients. */
final class Rig implements AutoCloseable {
    /** The exit codes of a case. */
    static final int HELD = 0;

    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final int START_SECONDS = 40;
    /** A script may run for 120 s. */
    private static final int LIMIT_SECONDS = 115;

    private final Record record;
    private final Deployment deployment;
    private final List<Leaf> leaves = new ArrayList<>();
    private final ScheduledExecutorService heartbeats = Executors.newScheduledThreadPool(4, Rig::daemon);

    /** The steps of a case; returns its exit code. */
    interface Case {
        int run(Rig rig, Record record, boolean trouble) throws Exception;
    }

    private Rig(Record record, Deployment deployment) {
        this.record = record;
        this.deployment = deployment;
    }

    /** Runs a case, ends everything that it started, and exits. The working folder is the repository's root. */
    static void main(Path folder, int edgeMachines, Case steps) throws IOException {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = COULD_NOT_RUN;
        try (Record record = new Record(folder)) {
            Deployment deployment = new Deployment(Path.of("").toAbsolutePath(), record, edgeMachines);
            // Ends the processes also if the script is interrupted.
            Runtime.getRuntime().addShutdownHook(new Thread(deployment::close));
            limitTime(record);
            try (Rig rig = new Rig(record, deployment)) {
                record.summary(trouble ? "with the disruption" : "TROUBLE=0: without the disruption");
                deployment.startAll();
                code = steps.run(rig, record, trouble);
            } catch (Exception failure) {
                record.summary("the case could not run: %s", failure);
                failure.printStackTrace();
            }
            record.summary("exit %d: %s", code, meaningOf(code));
        }
        System.exit(code);
    }

    private static String meaningOf(int code) {
        return switch (code) {
            case HELD -> "the rule held";
            case BROKEN -> "the rule was broken";
            default -> "the case could not run";
        };
    }

    private static void limitTime(Record record) {
        Thread limit = daemon(() -> {
            try {
                TimeUnit.SECONDS.sleep(LIMIT_SECONDS);
                record.summary("exit %d: out of time", COULD_NOT_RUN);
                System.exit(COULD_NOT_RUN);
            } catch (InterruptedException ended) {
                Thread.currentThread().interrupt();
            }
        });
        limit.start();
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    Deployment deployment() {
        return deployment;
    }

    /** Starts a leaf in the next zone in turn, which sends heartbeats from now on. */
    Leaf startLeaf(String service, Leaf.Work work) throws IOException {
        return startLeaf(service, Deployment.ZONES.get(leaves.size() % Deployment.ZONES.size()), work);
    }

    Leaf startLeaf(String service, String zone, Leaf.Work work) throws IOException {
        int number = leaves.size();
        Leaf leaf = new Leaf(
                service,
                "i-" + service + "-" + number,
                deployment.address(100 + number),
                deployment.leafPort(),
                zone,
                record,
                work);
        leaves.add(leaf);
        heartbeats.scheduleWithFixedDelay(() -> sendHeartbeat(leaf), 0, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
        return leaf;
    }

    private void sendHeartbeat(Leaf leaf) {
        byte[] body = leaf.heartbeat().getBytes(StandardCharsets.UTF_8);
        for (Deployment.Machine machine : deployment.core()) {
            if (control(machine, "PUT", "/bramblerack/leaves/" + leaf.id(), body).status() / 100 == 2) {
                return;
            }
        }
    }

    Http.Answer control(Deployment.Machine machine, String method, String path, byte[] body) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("Host", machine.ip());
        fields.put("Content-Type", "application/json");
        return Http.call(
                deployment.address(90), machine.ip(), deployment.controlPort(), method, path, fields, body);
    }

    /** Sends a configuration as the operator does, until it is acknowledged; records when it was. */
    void putConfiguration(long version, String document) throws InterruptedException, IOException {
        record.line("operator: PUT /bramblerack/config, version %d", version);
        await("the acknowledgement of version " + version, () -> {
            for (Deployment.Machine machine : deployment.core()) {
                Http.Answer answer = control(
                        machine, "PUT", "/bramblerack/config", document.getBytes(StandardCharsets.UTF_8));
                if (answer.status() == 200) {
                    record.line("operator: version %d acknowledged by %s", version, machine.name());
                    return true;
                }
            }
            return false;
        });
    }

    /** Waits until every edge machine answers 200 at its ready address. */
    void awaitReady() throws InterruptedException, IOException {
        await("every edge machine to be ready", () -> deployment.edge().stream().allMatch(this::isReady));
        record.line("every edge machine is ready");
    }

    boolean isReady(Deployment.Machine machine) {
        return Http.call(
                                deployment.address(91),
                                machine.ip(),
                                deployment.readyPort(),
                                "GET",
                                "/bramblerack/ready",
                                Map.of("Host", machine.ip()),
                                new byte[0])
                        .status()
                == 200;
    }

    Http.Connection connect(Deployment.Machine machine) throws IOException {
        return new Http.Connection(deployment.address(92), machine.ip(), deployment.frontPort());
    }

    void await(String what, Callable<Boolean> condition) throws InterruptedException, IOException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_SECONDS);
        while (true) {
            try {
                if (condition.call()) {
                    return;
                }
            } catch (InterruptedException | RuntimeException failure) {
                throw failure;
            } catch (Exception failure) {
                throw new IOException(failure);
            }
            if (System.nanoTime() - endNanos > 0) {
                throw new IOException("waited in vain for " + what);
            }
            Thread.sleep(100);
        }
    }

    @Override
    public void close() {
        heartbeats.shutdownNow();
        leaves.forEach(Leaf::close);
        deployment.close();
    }
}
