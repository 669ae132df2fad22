package org.bramblerack.process.harm;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.bramblerack.process.members.ReplicatedTables;
import org.bramblerack.wire.CommandResult;
import org.bramblerack.wire.TableDelta;
import org.bramblerack.wire.TakeTrial;
import org.jspecify.annotations.Nullable;

/**
 * Simulates hosts, leaves that end, and callers on simulated time, with random events from a seed. Counts the harmful
 * requests that are let through and the innocent requests that are refused.
 *
 * <p>Like the product, a host sends each query to every shard, retries at a second leaf of the shard after a
 * disconnect, and abandons the remaining calls once the query cannot be complete; some calls go through another host.
 * Reports and table changes are delayed; hosts restart, pause and lose contact with the control hosts.
 */
final class HarmWorld {
    /** Troubles beside harmful requests. */
    enum Trouble {
        /** Single leaves end by themselves, some of them repeatedly. */
        LEAVES_END,
        /** A third of all leaves end at the same time. */
        MANY_LEAVES_END,
        /** All leaves end at the same time. */
        ALL_LEAVES_END,
        /** Half of all connections to leaves are reset during calls. */
        RESETS,
        /** Leaves are replaced one after the other, each after it announced that it is leaving. */
        RELEASE,
        /** Hosts are killed and restart. */
        HOSTS_RESTART,
        /** Hosts pause for seconds. */
        HOSTS_FREEZE,
        /** Hosts cannot reach the control hosts. */
        HOSTS_PARTITIONED,
        /** Callers of innocent requests retry at once, several times. */
        CALLERS_RETRY,
        /** Leaves restart so quickly that half of the probes do not detect their end. */
        LEAVES_RESTART_QUICKLY
    }

    /** A fault of the product that the checks must detect. */
    enum InjectedFault {
        NONE,
        /** Hosts never report evidence. */
        NO_REPORTS,
        /** A lost connection counts as the end of a leaf. */
        DISCONNECTS_COUNT_AS_ENDS,
        /** Answers of leaves are ignored. */
        ANSWERS_IGNORED,
        /** Disconnects are ignored unless the end of the leaf was detected. */
        DISCONNECTS_IGNORED,
        /** Evidence of a host that cannot reach the control hosts is not reported by another host. */
        NO_REPORTS_BY_OTHERS,
        /** Queries that no shard answered are ignored, except for the detected ends. */
        UNANSWERED_QUERIES_IGNORED,
        /** A trial that reached a leaf blocks others until it times out or its host reports. */
        TRIALS_NOT_ENDED
    }

    private static final int HOSTS = 6;
    /** How often a host requests a trial, and how long it waits in between. */
    private static final int TRIAL_REQUESTS = 3;

    private static final long TRIAL_RETRY_MILLIS = 80;
    private static final int SHARDS = 10;
    private static final int REPLICAS = 2;
    /** How long a table change takes to reach a host; changes arrive in order. */
    private static final long TABLE_DELAY_MILLIS = 40;

    private static final long DURATION_MILLIS = 60_000;
    /** How often callers that retry at once send one request. */
    private static final int MAX_TRIES = 6;
    /** How long hosts may take to learn that a request is harmful. */
    private static final long KNOWN_DELAY_MILLIS = 4_000;

    private final SplittableRandom random;
    private final InjectedFault injected;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final ReplicatedTables tables = new ReplicatedTables();
    private final List<Host> hosts = new ArrayList<>();
    private final List<Leaf> leaves = new ArrayList<>();
    private final Map<String, List<Long>> endsByHarmful = new HashMap<>();
    private final Map<String, Set<Integer>> letThrough = new HashMap<>();
    private final Set<Integer> innocentRefused = new HashSet<>();
    private int innocentTries = 2;
    private boolean quickRestarts;
    private long nowMillis;
    private long order;
    private int arrivals;
    private int innocents;
    private int suspectedEnds;

    HarmWorld(long seed, EnumSet<Trouble> troubles, int harmful, InjectedFault injected) {
        this.random = new SplittableRandom(seed);
        this.injected = injected;
        for (int number = 0; number < HOSTS; number++) {
            hosts.add(new Host());
        }
        for (int number = 0; number < SHARDS * REPLICAS; number++) {
            leaves.add(new Leaf(number));
        }
        for (int number = 0; number < harmful; number++) {
            scheduleHarmful("/harmful/" + number);
        }
        scheduleInnocents();
        troubles.forEach(this::scheduleTrouble);
        for (Host host : hosts) {
            every(100, host::report);
            every(50 + random.nextInt(50), host::followTables);
        }
    }

    HarmWorld run() {
        while (!events.isEmpty() && events.peek().atMillis <= DURATION_MILLIS) {
            Event next = events.poll();
            nowMillis = next.atMillis;
            next.task.run();
        }
        return this;
    }

    /**
     * Returns the highest number of arrivals of one harmful request that were let through after hosts must have known
     * of it.
     */
    int maxLetThrough() {
        return letThrough.values().stream().mapToInt(Set::size).max().orElse(0);
    }

    int innocentsRefused() {
        return innocentRefused.size();
    }

    int innocents() {
        return innocents;
    }

    /** Returns how often a host reported the end of a leaf, whether it ended or not. */
    int suspectedEnds() {
        return suspectedEnds;
    }

    int endsByHarmful() {
        return endsByHarmful.values().stream().mapToInt(List::size).sum();
    }

    /** A harmful request arrives often or every few seconds, at one host or at all hosts at once. */
    private void scheduleHarmful(String target) {
        boolean scattered = random.nextInt(3) > 0;
        long at = 2_000L + random.nextInt(20_000);
        while (at < DURATION_MILLIS) {
            long gapMillis = random.nextInt(4) == 0 ? 200 : 2_000L + random.nextInt(4_000);
            int together = random.nextInt(4) == 0 ? HOSTS : 1;
            for (int arrival = 0; arrival < together; arrival++) {
                int host = together == 1 ? random.nextInt(HOSTS) : arrival;
                at(at + random.nextInt(20), () -> arrive(hosts.get(host), target, scattered, true, 1));
            }
            at += gapMillis;
        }
    }

    /** Most innocent requests arrive once and are retried once on failure; some arrive all the time. */
    private void scheduleInnocents() {
        for (long at = 0; at < DURATION_MILLIS; at += 25) {
            boolean popular = random.nextInt(5) == 0;
            String target = popular ? "/popular/" + random.nextInt(5) : "/rare/" + at;
            boolean scattered = random.nextInt(4) > 0;
            at(at, () -> arrive(hosts.get(random.nextInt(HOSTS)), target, scattered, false, innocentTries));
        }
    }

    private void scheduleTrouble(Trouble trouble) {
        switch (trouble) {
            case LEAVES_END -> every(400, () -> anyLeaf().end());
            case MANY_LEAVES_END ->
                every(
                        9_000,
                        () -> leaves.stream()
                                .filter(leaf -> random.nextInt(3) == 0)
                                .forEach(leaf -> leaf.end()));
            case ALL_LEAVES_END -> every(15_000, () -> leaves.forEach(leaf -> leaf.end()));
            case RESETS ->
                every(
                        1_000,
                        () -> leaves.stream()
                                .filter(leaf -> random.nextBoolean())
                                .forEach(Leaf::reset));
            case RELEASE -> every(700, () -> anyLeaf().leave());
            case HOSTS_RESTART -> every(3_000, () -> anyHost().restart());
            case HOSTS_FREEZE -> every(4_000, () -> anyHost().makeUnavailable(random.nextInt(5_000), false));
            case HOSTS_PARTITIONED -> every(4_000, () -> anyHost().makeUnavailable(random.nextInt(9_000), true));
            case CALLERS_RETRY -> innocentTries = MAX_TRIES;
            case LEAVES_RESTART_QUICKLY -> quickRestarts = true;
        }
    }

    private void arrive(Host host, String target, boolean scattered, boolean harmful, int tries) {
        if (host.isDown()) {
            return;
        }
        arrivals++;
        Request request = new Request(arrivals, target, harmful, tries);
        innocents += harmful ? 0 : 1;
        switch (host.filter.permission(() -> request.fingerprints)) {
            case FREE -> scatter(host, request, scattered);
            case ON_TRIAL -> requestTrial(host, request, scattered, TRIAL_REQUESTS);
            case QUARANTINED -> refused(request);
        }
    }

    private void refused(Request request) {
        if (!request.harmful) {
            innocentRefused.add(request.number);
        }
    }

    /** The control hosts grant or refuse a trial; a query on trial calls one shard first. */
    private void requestTrial(Host host, Request request, boolean scattered, int requestsLeft) {
        at(nowMillis + 2 + random.nextInt(50), () -> {
            TakeTrial.Builder trial =
                    HarmfulRequestFilter.newTrialRequest(request.arrival()).setAtMillis(nowMillis);
            boolean granted = host.reachesControl()
                    ? tables.takeTrial(trial.build()).getKind() == CommandResult.Kind.ACCEPTED
                    : host.filter.tryStartLocalTrial(request.arrival(), nowNanos());
            if (!granted && requestsLeft > 1) {
                at(nowMillis + TRIAL_RETRY_MILLIS, () -> retryPermission(host, request, scattered, requestsLeft - 1));
                return;
            }
            if (!granted) {
                refused(request);
                return;
            }
            request.onNotSent = () -> endTrial(host, request, false);
            request.onDisconnected = () -> endTrial(host, request, true);
            request.onAnswered = () -> endTrial(host, request, false);
            if (scattered) {
                request.shardsOpen = 1;
                request.afterFirst = () -> scatter(host, request, true);
                at(nowMillis, new Call(request, host, host, random.nextInt(SHARDS), 2)::send);
            } else {
                scatter(host, request, false);
            }
        });
    }

    private void retryPermission(Host host, Request request, boolean scattered, int requestsLeft) {
        if (host.isDown()) {
            return;
        }
        switch (host.filter.permission(() -> request.fingerprints)) {
            case FREE -> scatter(host, request, scattered);
            case ON_TRIAL -> requestTrial(host, request, scattered, requestsLeft);
            case QUARANTINED -> refused(request);
        }
    }

    private void endTrial(Host host, Request request, boolean disconnected) {
        if (injected == InjectedFault.TRIALS_NOT_ENDED && request.sent) {
            return;
        }
        TakeTrial.Builder trial = host.filter.endTrial(request.arrival(), disconnected, nowNanos());
        at(nowMillis + 2 + random.nextInt(50), () -> {
            if (host.reachesControl()) {
                tables.takeTrial(trial.setAtMillis(nowMillis).build());
            }
        });
    }

    private void scatter(Host host, Request request, boolean scattered) {
        int first = scattered ? 0 : random.nextInt(SHARDS);
        int count = scattered ? SHARDS : 1;
        request.shardsOpen = count;
        request.scattered = scattered;
        for (int shard = first; shard < first + count; shard++) {
            // Other hosts hold the connections to some shards.
            Host sender = random.nextInt(2) == 0 ? host : anyHost();
            Call call = new Call(request, host, sender, shard, 1);
            at(nowMillis + random.nextInt(15), call::send);
        }
    }

    private Host anyHost() {
        return hosts.get(random.nextInt(HOSTS));
    }

    private Leaf anyLeaf() {
        return leaves.get(random.nextInt(leaves.size()));
    }

    private void at(long atMillis, Runnable task) {
        events.add(new Event(atMillis, order++, task));
    }

    private void every(long millis, Runnable task) {
        at(nowMillis + 1 + random.nextLong(2 * millis), () -> {
            task.run();
            every(millis, task);
        });
    }

    private long nowNanos() {
        return TimeUnit.MILLISECONDS.toNanos(nowMillis);
    }

    private static final class Request {
        private final int number;
        private final String target;
        private final boolean harmful;
        private final Fingerprints fingerprints;
        private final int triesLeft;
        private int shardsOpen;
        private int shardsLost;
        private boolean over;
        private @Nullable Runnable afterFirst;
        private boolean scattered;
        private boolean sent;
        private boolean answered;
        private Runnable onNotSent = () -> {};
        private Runnable onDisconnected = () -> {};
        private Runnable onAnswered = () -> {};

        Request(int number, String target, boolean harmful, int tries) {
            this.number = number;
            this.target = target;
            this.harmful = harmful;
            this.triesLeft = tries - 1;
            this.fingerprints = Fingerprints.of("GET", "h", target, "", new byte[0]);
        }

        private Arrival arrival() {
            return new Arrival(fingerprints, number);
        }
    }

    private final class Call {
        private final Request request;
        private final Host entry;
        private final Host sender;
        private final int shard;
        private final int attempt;
        private final Leaf leaf;
        private boolean over;

        Call(Request request, Host entry, Host sender, int shard, int attempt) {
            this.request = request;
            this.entry = entry;
            this.sender = sender;
            this.shard = shard;
            this.attempt = attempt;
            this.leaf = leaves.get(shard * REPLICAS + (attempt + request.number) % REPLICAS);
        }

        void send() {
            if (request.over || sender.isDown()) {
                fail();
            } else if (!sender.maySend(request)) {
                refused(request);
                fail();
            } else if (leaf.up) {
                request.sent = true;
                recordLetThrough();
                sender.detector(leaf).onSent(this);
                leaf.calls.add(this);
                int start = leaf.start;
                at(nowMillis + 5 + random.nextInt(95), () -> run(start));
            } else {
                retry();
            }
        }

        private void recordLetThrough() {
            List<Long> ends = endsByHarmful.getOrDefault(request.target, List.of());
            boolean known = ends.size() >= 3 && nowMillis - ends.get(2) > KNOWN_DELAY_MILLIS;
            if (request.harmful && known && sender.isInTouch()) {
                letThrough
                        .computeIfAbsent(request.target, unused -> new HashSet<>())
                        .add(request.number);
            }
        }

        private void run(int start) {
            if (over || leaf.start != start) {
                return;
            }
            if (request.harmful) {
                endsByHarmful
                        .computeIfAbsent(request.target, unused -> new ArrayList<>())
                        .add(nowMillis);
                leaf.end();
                return;
            }
            over = true;
            leaf.calls.remove(this);
            sender.detector(leaf).onAnswered(this);
            if (injected != InjectedFault.ANSWERS_IGNORED) {
                sender.filter.recordSurvival(request.fingerprints, nowNanos());
                entry.filter.recordSurvival(request.fingerprints, nowNanos());
            }
            if (!request.answered) {
                request.answered = true;
                request.onAnswered.run();
            }
            request.shardsOpen--;
            Runnable next = request.afterFirst;
            request.afterFirst = null;
            if (next != null) {
                next.run();
            }
        }

        void disconnect(boolean leafEnded) {
            over = true;
            sender.detector(leaf).onDisconnected(this, nowNanos());
            if (injected != InjectedFault.DISCONNECTS_IGNORED) {
                sender.filter.recordDisconnect(request.arrival(), nowNanos());
            }
            sender.probe(leaf, leafEnded);
            retry();
        }

        private void retry() {
            if (attempt < 2) {
                at(nowMillis + 1, new Call(request, entry, sender, shard, attempt + 1)::send);
            } else {
                fail();
            }
        }

        private void fail() {
            request.shardsLost++;
            boolean hopeless = request.shardsOpen == 1 || request.shardsLost > 2;
            if (!hopeless || request.over) {
                return;
            }
            request.over = true;
            if (!request.sent) {
                request.onNotSent.run();
            } else {
                request.onDisconnected.run();
            }
            if (request.sent
                    && !request.answered
                    && request.scattered
                    && injected != InjectedFault.UNANSWERED_QUERIES_IGNORED) {
                entry.filter.recordNoShardAnswered(request.arrival(), nowNanos());
            }
            leaves.forEach(each -> each.abandon(request));
            if (request.triesLeft > 0) {
                long pauseMillis = innocentTries == MAX_TRIES ? 1 : 100;
                at(
                        nowMillis + pauseMillis,
                        () -> arrive(anyHost(), request.target, request.shardsOpen > 1, false, request.triesLeft));
            }
        }
    }

    /** A leaf over all of its incarnations. */
    private final class Leaf {
        private final int number;
        private final Set<Call> calls = new LinkedHashSet<>();
        private int start = 1;
        private boolean up = true;

        Leaf(int number) {
            this.number = number;
        }

        void end() {
            if (up) {
                up = false;
                disconnectCalls(true);
                at(nowMillis + 500 + random.nextInt(3_000), () -> {
                    up = true;
                    start++;
                });
            }
        }

        void reset() {
            disconnectCalls(false);
        }

        /** Leaves without calls in flight, as hosts stop sending beforehand; another incarnation replaces it. */
        void leave() {
            if (up && calls.isEmpty()) {
                start++;
            }
        }

        void abandon(Request request) {
            for (Call call : List.copyOf(calls)) {
                if (call.request == request) {
                    calls.remove(call);
                    call.over = random.nextInt(2) == 0;
                    call.sender.detector(this).onAbandoned(call, nowNanos());
                }
            }
        }

        private void disconnectCalls(boolean ended) {
            List<Call> disconnected = List.copyOf(calls);
            calls.clear();
            disconnected.forEach(call -> call.disconnect(ended));
            if (ended) {
                hosts.forEach(host -> host.idleConnectionEnds(this));
            }
        }
    }

    /** A host over all of its incarnations. */
    private final class Host {
        private final Map<Leaf, LeafEndDetector<Call>> detectors = new HashMap<>();
        private HarmfulRequestFilter filter = new HarmfulRequestFilter();
        private long knownRevision;
        private long downUntilMillis;
        private long cutUntilMillis;
        private long troubledUntilMillis = -DURATION_MILLIS;

        boolean isDown() {
            return nowMillis < downUntilMillis;
        }

        boolean maySend(Request request) {
            return filter.permission(() -> request.fingerprints) != Permission.QUARANTINED;
        }

        boolean isInTouch() {
            return nowMillis - troubledUntilMillis > KNOWN_DELAY_MILLIS;
        }

        LeafEndDetector<Call> detector(Leaf leaf) {
            return detectors.computeIfAbsent(leaf, unused -> new LeafEndDetector<>());
        }

        /** Most hosts have an idle connection to a leaf. */
        void idleConnectionEnds(Leaf leaf) {
            if (random.nextInt(10) < 7) {
                LeafEndDetector<Call> detector = detector(leaf);
                detector.onIdleConnectionClosed(nowNanos());
                if (detector.isEndSuspected()) {
                    probe(leaf, true);
                }
            }
        }

        /** Probes with a new connection whether a leaf has ended. */
        void probe(Leaf leaf, boolean leafEnded) {
            LeafEndDetector<Call> detector = detector(leaf);
            int start = leaf.start;
            long connectStartNanos = nowNanos();
            boolean detectable = !quickRestarts || random.nextBoolean();
            at(nowMillis + 1 + random.nextInt(25), () -> {
                boolean down = (leafEnded && detectable) || injected == InjectedFault.DISCONNECTS_COUNT_AS_ENDS;
                if (!down) {
                    detector.onConnected(connectStartNanos);
                    return;
                }
                List<Call> calls = detector.onConnectFailed(nowNanos());
                if (!calls.isEmpty()) {
                    suspectedEnds++;
                    filter.recordLeafEnd(
                            leaf.number * 1_000L + start,
                            calls.stream()
                                    .map(call -> call.request.arrival())
                                    .distinct()
                                    .toList(),
                            nowNanos());
                }
            });
        }

        void restart() {
            filter = new HarmfulRequestFilter();
            knownRevision = 0;
            detectors.clear();
            makeUnavailable(500 + random.nextInt(1_000), false);
        }

        void makeUnavailable(long millis, boolean cutOnly) {
            cutUntilMillis = Math.max(cutUntilMillis, nowMillis + millis);
            downUntilMillis = cutOnly ? downUntilMillis : Math.max(downUntilMillis, nowMillis + millis);
            troubledUntilMillis = Math.max(troubledUntilMillis, nowMillis + millis);
        }

        private boolean reachesControl() {
            return nowMillis >= cutUntilMillis && !isDown();
        }

        void report() {
            if (isDown() || injected == InjectedFault.NO_REPORTS) {
                return;
            }
            HarmfulRequestFilter reporter = filter;
            filter.takeReport()
                    .ifPresent(report -> at(nowMillis + 20 + random.nextInt(300), () -> {
                        if (reachesControl()) {
                            tables.applyReport(
                                    report.toBuilder().setAtMillis(nowMillis).build());
                        } else if (injected == InjectedFault.NO_REPORTS_BY_OTHERS || random.nextBoolean()) {
                            reporter.restoreReport(report);
                        } else {
                            anyHost().filter.adoptReport(report, nowNanos());
                        }
                    }));
        }

        void followTables() {
            if (!reachesControl() || knownRevision == tables.revision()) {
                return;
            }
            TableDelta delta = tables.changesSince(knownRevision).build();
            knownRevision = delta.getRevision();
            HarmfulRequestFilter follower = filter;
            at(
                    nowMillis + TABLE_DELAY_MILLIS,
                    () -> follower.applyReplicated(delta.getHarmList(), delta.getWhole(), nowNanos()));
        }
    }

    private record Event(long atMillis, long order, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
