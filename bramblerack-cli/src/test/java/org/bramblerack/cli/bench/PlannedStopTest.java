package org.bramblerack.cli.bench;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import io.vertx.core.json.JsonObject;
import java.io.EOFException;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.bramblerack.daemon.entry.StoppingState;
import org.bramblerack.daemon.host.HostProcess;
import org.bramblerack.standin.Ledger;
import org.junit.jupiter.api.Test;

/**
 * Stops a host at many moments around the answers of requests that callers send in different ways, and asserts that
 * each request that was sent before the stop is answered whole: with its result, or, if the host had not begun to run
 * it, with a refusal. Asserts no latencies.
 */
final class PlannedStopTest {
    private static final Duration LIMIT = Duration.ofSeconds(30);
    private static final int SERVICE_MILLIS = 60;
    private static final int SLOTS = 16;
    private static final int SHARDS = 4;
    private static final int CALLERS_OF_A_KIND = 4;
    /** Answers of this many items are larger than the socket buffers of the kernel. */
    private static final int LARGE_ITEM_BYTES = 1_000_000;

    /** A connection used more recently than this is in use; less than the time for which a host keeps it open. */
    private static final long UNUSED_NANOS = Duration.ofMillis(200).toNanos();

    private static final int SMALL_RECEIVE_BUFFER_BYTES = 8 * 1024;

    /**
     * Whether the answers are whole must not depend on when the stop begins. The number of moments is given by
     * {@code bramblerack.stop.moments}.
     */
    @Test
    void everyRequestSentBeforeTheStopIsAnsweredWhole() throws Exception {
        assertWithMessage("broken requests").that(stopAtManyMoments(allKinds())).isEmpty();
    }

    /** The host counts a query as done only once its answer is written. */
    @Test
    void noAnswerThatIsBeingWrittenIsCutOff() throws Exception {
        ImmutableList<Caller> queries = ImmutableList.copyOf(Collections.nCopies(6, PlannedStopTest::sendQuery));
        assertWithMessage("broken requests").that(stopAtManyMoments(queries)).isEmpty();
    }

    /** A caller that reads slowly receives all of an answer that the host had begun to write before it stopped. */
    @Test
    void aLargeAnswerToASlowReaderIsNotCutOff() throws Exception {
        assertThat(stopDuring(700, 1, LARGE_ITEM_BYTES, ImmutableList.of(PlannedStopTest::readSlowly)))
                .isEmpty();
    }

    /** A request whose body arrives after the stop began is refused rather than cut off. */
    @Test
    void aRequestThatIsHalfReadIsAnswered() throws Exception {
        assertThat(stopDuring(100, 2, 0, ImmutableList.of(PlannedStopTest::sendInHalves)))
                .isEmpty();
    }

    /** A request that cannot be finished within the limit gets an answer that says that it may have run. */
    @Test
    void whatIsNotFinishedAtTheLimitIsRefusedAndNotCutOff() throws Exception {
        try (BenchSystem system = startSystem(4, 0);
                RawCaller queryCaller = new RawCaller(system.address(0), 0);
                RawCaller operationCaller = new RawCaller(system.address(0), 0)) {
            silence(system);
            queryCaller.send(query("unfinished"));
            operationCaller.send(operation("unfinished"));
            while (system.fleet().ledger().runCount("unfinished") == 0) {
                Thread.sleep(5);
            }
            system.hosts().remove(0).stop(Duration.ZERO, Duration.ofMillis(500));
            assertRefused(queryCaller.read(), "incomplete", "may-have-run");
            assertRefused(operationCaller.read(), "outcome-unknown", "may-have-run");
        }
    }

    /**
     * A request that may outlast the host is refused as not run, instead of being run and then refused at the limit.
     */
    @Test
    void aRequestThatOutlastsTheStopIsNotRun() throws Exception {
        try (BenchSystem system = startSystem(5, 0);
                RawCaller queryCaller = new RawCaller(system.address(0), 0);
                RawCaller operationCaller = new RawCaller(system.address(0), 0)) {
            silence(system);
            CompletableFuture<Void> stopped = beginStop(system, Duration.ofSeconds(2), Duration.ofMillis(300));
            queryCaller.send(query("outlasting"));
            operationCaller.send(operation("outlasting"));
            assertRefused(queryCaller.read(), "stopping", "not-run");
            assertRefused(operationCaller.read(), "stopping", "not-run");
            assertThat(system.fleet().ledger().runCount("outlasting")).isEqualTo(0);
            stopped.get(LIMIT.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    /** The deadline of a request does not count while requests like it are short. */
    @Test
    void aShortRequestIsServedWhileTheLoadBalancerLags() throws Exception {
        try (BenchSystem system = startSystem(6, 0);
                RawCaller first = new RawCaller(system.address(0), 0);
                RawCaller second = new RawCaller(system.address(0), 0)) {
            first.send(query("before"));
            assertAnswered(first.read());
            CompletableFuture<Void> stopped = beginStop(system, Duration.ofSeconds(15), Duration.ofMillis(300));
            second.send(query("short"));
            assertAnswered(second.read());
            stopped.cancel(true);
        }
    }

    /** The caller may have sent the rest of its body, which the host then reads and discards. */
    @Test
    void aRequestThatIsReadInPartIsRefusedAtTheLimit() throws Exception {
        try (BenchSystem system = startSystem(7, 0);
                RawCaller caller = new RawCaller(system.address(0), 0)) {
            byte[] query = query("part");
            caller.send(query, 0, query.length - 5);
            Thread.sleep(100);
            system.hosts().remove(0).stop(Duration.ZERO, Duration.ofMillis(500));
            assertThat(caller.read().status()).isEqualTo(408);
        }
    }

    private static void silence(BenchSystem system) {
        system.fleet()
                .matching("")
                .forEach(upstream -> upstream.setBehaviour(upstream.behaviour().withSilent(true)));
    }

    /** Begins to stop the first host, and returns once it has announced that it leaves. */
    private static CompletableFuture<Void> beginStop(BenchSystem system, Duration lag, Duration limit)
            throws InterruptedException {
        HostProcess host = system.hosts().remove(0);
        CompletableFuture<Void> stopped = CompletableFuture.runAsync(() -> {
            try {
                host.stop(lag, limit);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        });
        while (host.stopping() == StoppingState.RUNNING) {
            Thread.sleep(5);
        }
        return stopped;
    }

    private static void assertRefused(RawCaller.Response response, String code, String ran) {
        JsonObject refusal = new JsonObject(response.body()).getJsonObject("refusal");
        assertThat(refusal.getString("code")).isEqualTo(code);
        assertThat(refusal.getString("ran")).isEqualTo(ran);
    }

    /** Callers that neither send the rest of a request nor read their answer do not hold up the stop past its limit. */
    @Test
    void aStopEndsAtItsLimit() throws Exception {
        try (BenchSystem system = startSystem(3, LARGE_ITEM_BYTES);
                RawCaller halfSent = new RawCaller(system.address(0), 0);
                RawCaller unread = new RawCaller(system.address(0), SMALL_RECEIVE_BUFFER_BYTES)) {
            byte[] query = query("half-sent");
            halfSent.send(query, 0, query.length / 2);
            unread.send(query("unread"));
            awaitAnswered(system, 1);
            HostProcess host = system.hosts().remove(0);
            long startNanos = System.nanoTime();
            host.stop(Duration.ZERO, Duration.ofSeconds(2));
            assertThat(System.nanoTime() - startNanos)
                    .isLessThan(Duration.ofSeconds(20).toNanos());
        }
    }

    private static ImmutableList<Caller> allKinds() {
        return ImmutableList.of(
                PlannedStopTest::sendQuery,
                PlannedStopTest::sendOperation,
                PlannedStopTest::sendPipelined,
                PlannedStopTest::sendInHalves,
                PlannedStopTest::reuseConnection,
                PlannedStopTest::sendOperationThroughOtherHost);
    }

    private static List<String> stopAtManyMoments(ImmutableList<Caller> kinds) throws Exception {
        int moments = Integer.getInteger("bramblerack.stop.moments", 6);
        List<String> broken = new ArrayList<>();
        for (int moment = 0; moment < moments; moment++) {
            long delayMillis = 120L * moment / moments;
            broken.addAll(stopDuring(delayMillis, moment, 0, kinds));
        }
        return broken;
    }

    /** Returns descriptions of the requests that were not answered whole. */
    private static List<String> stopDuring(long delayMillis, long seed, int itemBytes, ImmutableList<Caller> kinds)
            throws Exception {
        List<String> broken = new CopyOnWriteArrayList<>();
        ExecutorService threads = Executors.newCachedThreadPool();
        try (BenchSystem system = startSystem(seed, itemBytes)) {
            HostAndPort stopping = system.address(0);
            HostAndPort other = system.address(1);
            CountDownLatch sent = new CountDownLatch(kinds.size() * CALLERS_OF_A_KIND);
            List<Future<?>> callers = new ArrayList<>();
            for (int kind = 0; kind < kinds.size(); kind++) {
                for (int number = 0; number < CALLERS_OF_A_KIND; number++) {
                    Caller caller = kinds.get(kind);
                    String name = "stop-" + seed + "-" + kind + "-" + number;
                    callers.add(threads.submit(() -> {
                        try {
                            caller.call(new Target(
                                    stopping,
                                    other,
                                    name,
                                    sent::countDown,
                                    system.fleet().ledger()));
                        } catch (IOException | AssertionError | RuntimeException failure) {
                            broken.add(name + " at " + delayMillis + " ms: " + failure);
                        }
                    }));
                }
            }
            assertThat(sent.await(LIMIT.toMillis(), TimeUnit.MILLISECONDS)).isTrue();
            Thread.sleep(delayMillis);
            HostProcess host = system.hosts().remove(0);
            host.stop(Duration.ZERO, LIMIT);
            for (Future<?> caller : callers) {
                caller.get(LIMIT.toMillis(), TimeUnit.MILLISECONDS);
            }
        } finally {
            threads.shutdownNow();
        }
        return broken;
    }

    private static BenchSystem startSystem(long seed, int itemBytes) throws IOException, InterruptedException {
        BenchSystem system = BenchSystem.start(2, SHARDS, SLOTS, SERVICE_MILLIS * 1_000, 20_000, seed);
        system.fleet()
                .matching("")
                .forEach(upstream -> upstream.setBehaviour(upstream.behaviour().withItemBytes(itemBytes)));
        return system;
    }

    private static void awaitAnswered(BenchSystem system, int queries) throws InterruptedException {
        while (system.hosts().get(0).metrics().timer("query.time").getCount() < queries) {
            Thread.sleep(5);
        }
    }

    /**
     * What a caller needs: the hosts, a name for its requests, a task to run once its request is sent, and the runs.
     */
    private record Target(HostAndPort stopping, HostAndPort other, String name, Runnable onSent, Ledger ledger) {}

    /** A way to send requests and to read their answers; fails if an answer is not whole. */
    @FunctionalInterface
    private interface Caller {
        void call(Target target) throws IOException;
    }

    private static void sendQuery(Target target) throws IOException {
        try (RawCaller caller = new RawCaller(target.stopping(), 0)) {
            caller.send(query(target.name()));
            target.onSent().run();
            assertAnsweredOrNotRun(caller.read());
        }
    }

    private static void sendOperation(Target target) throws IOException {
        sendOperation(target, target.stopping());
    }

    /** The stopping host holds connections to upstreams, and answers calls of the other host that it has accepted. */
    private static void sendOperationThroughOtherHost(Target target) throws IOException {
        sendOperation(target, target.other());
    }

    private static void sendOperation(Target target, HostAndPort host) throws IOException {
        try (RawCaller caller = new RawCaller(host, 0)) {
            caller.send(operation(target.name()));
            target.onSent().run();
            RawCaller.Response response = caller.read();
            assertAnsweredOrNotRun(response);
            assertThat(target.ledger().runCount(target.name())).isEqualTo(response.status() == 200 ? 1 : 0);
        }
    }

    /** An answer that announces the close of the connection says that the requests after it were not handled. */
    private static void sendPipelined(Target target) throws IOException {
        try (RawCaller caller = new RawCaller(target.stopping(), 0)) {
            int requests = 3;
            for (int number = 0; number < requests; number++) {
                caller.send(query(target.name() + "-" + number));
            }
            target.onSent().run();
            boolean closing = false;
            for (int number = 0; number < requests && !closing; number++) {
                RawCaller.Response response = caller.read();
                assertAnsweredOrNotRun(response);
                closing = response.closing();
            }
        }
    }

    private static void sendInHalves(Target target) throws IOException {
        try (RawCaller caller = new RawCaller(target.stopping(), 0)) {
            byte[] query = query(target.name());
            caller.send(query, 0, query.length - 5);
            target.onSent().run();
            sleep(150);
            caller.send(query, query.length - 5, query.length);
            assertAnsweredOrNotRun(caller.read());
        }
    }

    /**
     * Sends one request after the other until an answer says that the connection closes. A request may cross the close
     * of a connection that was not used for a while.
     */
    private static void reuseConnection(Target target) throws IOException {
        try (RawCaller caller = new RawCaller(target.stopping(), 0)) {
            caller.send(query(target.name()));
            long lastSentNanos = System.nanoTime();
            target.onSent().run();
            RawCaller.Response response = caller.read();
            assertAnsweredOrNotRun(response);
            for (int number = 0; !response.closing(); number++) {
                caller.send(query(target.name() + "-" + number));
                boolean idle = System.nanoTime() - lastSentNanos > UNUSED_NANOS;
                lastSentNanos = System.nanoTime();
                try {
                    response = caller.read();
                } catch (EOFException closed) {
                    assertWithMessage("closed although in use").that(idle).isTrue();
                    return;
                }
                assertAnsweredOrNotRun(response);
            }
        }
    }

    private static void readSlowly(Target target) throws IOException {
        try (RawCaller caller = new RawCaller(target.stopping(), SMALL_RECEIVE_BUFFER_BYTES)) {
            caller.send(query(target.name()));
            target.onSent().run();
            sleep(2_000);
            RawCaller.Response response = caller.read();
            assertAnswered(response);
            assertThat(response.body().length()).isGreaterThan(SHARDS * LARGE_ITEM_BYTES);
        }
    }

    private static void assertAnswered(RawCaller.Response response) {
        assertWithMessage(response.body()).that(response.status()).isEqualTo(200);
        if (response.body().contains("coverage")) {
            JsonObject coverage = new JsonObject(response.body()).getJsonObject("coverage");
            assertThat(coverage.getInteger("covered")).isEqualTo(SHARDS);
        }
    }

    private static void assertAnsweredOrNotRun(RawCaller.Response response) {
        if (response.status() == 200) {
            assertAnswered(response);
        } else {
            JsonObject refusal = new JsonObject(response.body()).getJsonObject("refusal");
            assertThat(refusal.getString("code")).isEqualTo("stopping");
            assertThat(refusal.getString("ran")).isEqualTo("not-run");
        }
    }

    private static byte[] query(String requestId) {
        JsonObject body = new JsonObject()
                .put("requestId", requestId)
                .put("class", "urgent")
                .put("query", "");
        return RawCaller.post("/v1/query/bench/search", body.encode());
    }

    private static byte[] operation(String requestId) {
        JsonObject body = new JsonObject().put("requestId", requestId).put("arguments", 1);
        return RawCaller.post("/v1/operation/bench/pool/run", body.encode());
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
