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
 * Hosts, leafs that end, and callers on simulated time, drawn from a seed: what is let through to leafs that should not
 * be, and what is refused that should not be.
 *
 * <p>Hosts send each query to every shard, a second leaf of a shard when the first breaks, and give the rest up once it
 * can't be whole, as the product does; some calls go through another host. Reports and changes of the tables take time;
 * hosts start again, stand still and are cut off from control.
 */
final class HarmWorld {
    /** What may happen beside harmful requests. */
    enum Trouble {
        /** Single leafs end by themselves, some of them again and again. */
        LEAFS_END,
        /** A third of all leafs end at one moment. */
        MANY_LEAFS_END,
        /** All leafs end at one moment. */
        ALL_LEAFS_END,
        /** Half of all connections to leafs are reset at one moment, while calls are on them. */
        RESETS,
        /** Leafs are replaced one after the other, each after word of it. */
        RELEASE,
        /** Hosts are killed and start again. */
        HOSTS_RESTART,
        /** Hosts stand still for seconds. */
        HOSTS_FREEZE,
        /** Hosts are cut off from control. */
        HOSTS_CUT,
        /** Callers of innocent requests come again at once, several times. */
        CALLERS_INSIST,
        /** Half of the hosts that look whether a leaf has ended look too late: it is back. */
        LEAFS_SOON_BACK
    }

    /** A fault of the product, planted to see that the checks find it. */
    enum Plant {
        NONE,
        /** What hosts saw is never told. */
        NOTHING_TOLD,
        /** A broken connection counts as the end of a leaf. */
        BREAKS_COUNT,
        /** That a leaf answered a request counts for nothing. */
        ANSWERS_IGNORED,
        /** A call that broke counts for nothing unless its leaf was found to have ended. */
        BREAKS_IGNORED,
        /** What a host saw that is cut off from control is told by no other host. */
        NOTHING_TOLD_BY_OTHERS,
        /** A query that was lost whole counts for nothing but the ends that were seen. */
        LOST_QUERIES_IGNORED,
        /** A trial that reached a leaf keeps others waiting until its time is over or its host's report is taken. */
        TRIALS_HELD
    }

    private static final int HOSTS = 6;
    /** How often a host asks for a trial, and how long it waits in between. */
    private static final int ASKS = 3;

    private static final long OTHER_TRIAL_MILLIS = 80;
    private static final int SHARDS = 10;
    private static final int COPIES = 2;
    /** The way of a change of the tables to a host; changes come in their order. */
    private static final long LEARN_MILLIS = 40;

    private static final long DAY_MILLIS = 60_000;
    /** How often callers that do not wait come with one request. */
    private static final int MOST_TRIES = 6;
    /** The shortest time limit in use after which hosts must know. */
    private static final long KNOWN_AFTER_MILLIS = 4_000;

    private final SplittableRandom random;
    private final Plant plant;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final ReplicatedTables tables = new ReplicatedTables();
    private final List<Host> hosts = new ArrayList<>();
    private final List<Leaf> leafs = new ArrayList<>();
    private final Map<String, List<Long>> endsByHarmful = new HashMap<>();
    private final Map<String, Set<Integer>> sentOn = new HashMap<>();
    private final Set<Integer> innocentRefused = new HashSet<>();
    private int innocentTries = 2;
    private boolean leafsSoonBack;
    private long nowMillis;
    private long order;
    private int arrivals;
    private int innocents;
    private int accused;

    HarmWorld(long seed, EnumSet<Trouble> troubles, int harmful, Plant plant) {
        this.random = new SplittableRandom(seed);
        this.plant = plant;
        for (int number = 0; number < HOSTS; number++) {
            hosts.add(new Host());
        }
        for (int number = 0; number < SHARDS * COPIES; number++) {
            leafs.add(new Leaf(number));
        }
        for (int number = 0; number < harmful; number++) {
            drawHarmful("/harmful/" + number);
        }
        drawInnocents();
        troubles.forEach(this::draw);
        for (Host host : hosts) {
            every(100, host::tell);
            every(50 + random.nextInt(50), host::follow);
        }
    }

    HarmWorld play() {
        while (!events.isEmpty() && events.peek().atMillis <= DAY_MILLIS) {
            Event next = events.poll();
            nowMillis = next.atMillis;
            next.task.run();
        }
        return this;
    }

    /** Returns the most arrivals of any harmful request that were sent on although hosts must have known. */
    int mostSentOn() {
        return sentOn.values().stream().mapToInt(Set::size).max().orElse(0);
    }

    int innocentsRefused() {
        return innocentRefused.size();
    }

    int innocents() {
        return innocents;
    }

    /** Returns how often a leaf was seen to end under requests, whether it did or not. */
    int accused() {
        return accused;
    }

    int endsByHarmful() {
        return endsByHarmful.values().stream().mapToInt(List::size).sum();
    }

    /** A harmful request comes in spells, once each few seconds or often, at one host or at all together. */
    private void drawHarmful(String target) {
        boolean scattered = random.nextInt(3) > 0;
        long at = 2_000L + random.nextInt(20_000);
        while (at < DAY_MILLIS) {
            long gapMillis = random.nextInt(4) == 0 ? 200 : 2_000L + random.nextInt(4_000);
            int together = random.nextInt(4) == 0 ? HOSTS : 1;
            for (int arrival = 0; arrival < together; arrival++) {
                int host = together == 1 ? random.nextInt(HOSTS) : arrival;
                at(at + random.nextInt(20), () -> arrive(hosts.get(host), target, scattered, true, 1));
            }
            at += gapMillis;
        }
    }

    /** Most innocent requests come once and, if they fail, once more; some are asked for all the time. */
    private void drawInnocents() {
        for (long at = 0; at < DAY_MILLIS; at += 25) {
            boolean popular = random.nextInt(5) == 0;
            String target = popular ? "/popular/" + random.nextInt(5) : "/rare/" + at;
            boolean scattered = random.nextInt(4) > 0;
            at(at, () -> arrive(hosts.get(random.nextInt(HOSTS)), target, scattered, false, innocentTries));
        }
    }

    private void draw(Trouble trouble) {
        switch (trouble) {
            case LEAFS_END -> every(400, () -> anyLeaf().end());
            case MANY_LEAFS_END ->
                every(
                        9_000,
                        () -> leafs.stream()
                                .filter(leaf -> random.nextInt(3) == 0)
                                .forEach(leaf -> leaf.end()));
            case ALL_LEAFS_END -> every(15_000, () -> leafs.forEach(leaf -> leaf.end()));
            case RESETS ->
                every(
                        1_000,
                        () -> leafs.stream()
                                .filter(leaf -> random.nextBoolean())
                                .forEach(Leaf::reset));
            case RELEASE -> every(700, () -> anyLeaf().leave());
            case HOSTS_RESTART -> every(3_000, () -> anyHost().restart());
            case HOSTS_FREEZE -> every(4_000, () -> anyHost().away(random.nextInt(5_000), false));
            case HOSTS_CUT -> every(4_000, () -> anyHost().away(random.nextInt(9_000), true));
            case CALLERS_INSIST -> innocentTries = MOST_TRIES;
            case LEAFS_SOON_BACK -> leafsSoonBack = true;
        }
    }

    private void arrive(Host host, String target, boolean scattered, boolean harmful, int tries) {
        if (host.isDown()) {
            return;
        }
        arrivals++;
        Request request = new Request(arrivals, target, harmful, tries);
        innocents += harmful ? 0 : 1;
        switch (host.guard.permission(() -> request.prints)) {
            case FREE -> scatter(host, request, scattered);
            case ON_TRIAL -> askForTrial(host, request, scattered, ASKS);
            case QUARANTINED -> refused(request);
        }
    }

    private void refused(Request request) {
        if (!request.harmful) {
            innocentRefused.add(request.number);
        }
    }

    /** Control grants or refuses a trial; a query on trial goes to one shard first. */
    private void askForTrial(Host host, Request request, boolean scattered, int asksLeft) {
        at(nowMillis + 2 + random.nextInt(50), () -> {
            TakeTrial.Builder trial =
                    HarmfulRequestFilter.newTrialRequest(request.arrival()).setAtMillis(nowMillis);
            boolean granted = host.reachesControl()
                    ? tables.takeTrial(trial.build()).getKind() == CommandResult.Kind.ACCEPTED
                    : host.guard.tryStartLocalTrial(request.arrival(), nowNanos());
            if (!granted && asksLeft > 1) {
                at(nowMillis + OTHER_TRIAL_MILLIS, () -> lookAgain(host, request, scattered, asksLeft - 1));
                return;
            }
            if (!granted) {
                refused(request);
                return;
            }
            request.onNotSent = () -> giveBack(host, request, false);
            request.onBroke = () -> giveBack(host, request, true);
            request.onAnswered = () -> giveBack(host, request, false);
            if (scattered) {
                request.shardsOpen = 1;
                request.afterFirst = () -> scatter(host, request, true);
                at(nowMillis, new Call(request, host, host, random.nextInt(SHARDS), 2)::send);
            } else {
                scatter(host, request, false);
            }
        });
    }

    private void lookAgain(Host host, Request request, boolean scattered, int asksLeft) {
        if (host.isDown()) {
            return;
        }
        switch (host.guard.permission(() -> request.prints)) {
            case FREE -> scatter(host, request, scattered);
            case ON_TRIAL -> askForTrial(host, request, scattered, asksLeft);
            case QUARANTINED -> refused(request);
        }
    }

    private void giveBack(Host host, Request request, boolean broke) {
        if (plant == Plant.TRIALS_HELD && request.sent) {
            return;
        }
        TakeTrial.Builder trial = host.guard.endTrial(request.arrival(), broke, nowNanos());
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
            // Through another host, as shards are that others hold.
            Host sender = random.nextInt(2) == 0 ? host : anyHost();
            Call call = new Call(request, host, sender, shard, 1);
            at(nowMillis + random.nextInt(15), call::send);
        }
    }

    private Host anyHost() {
        return hosts.get(random.nextInt(HOSTS));
    }

    private Leaf anyLeaf() {
        return leafs.get(random.nextInt(leafs.size()));
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

    /** One arrival of a request. */
    private static final class Request {
        private final int number;
        private final String target;
        private final boolean harmful;
        private final Fingerprints prints;
        private final int triesLeft;
        private int shardsOpen;
        private int shardsLost;
        private boolean over;
        private @Nullable Runnable afterFirst;
        private boolean scattered;
        private boolean sent;
        private boolean answered;
        private Runnable onNotSent = () -> {};
        private Runnable onBroke = () -> {};
        private Runnable onAnswered = () -> {};

        Request(int number, String target, boolean harmful, int tries) {
            this.number = number;
            this.target = target;
            this.harmful = harmful;
            this.triesLeft = tries - 1;
            this.prints = Fingerprints.of("GET", "h", target, "", new byte[0]);
        }

        private Arrival arrival() {
            return new Arrival(prints, number);
        }
    }

    /** One call on a shard. */
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
            this.leaf = leafs.get(shard * COPIES + (attempt + request.number) % COPIES);
        }

        void send() {
            if (request.over || sender.isDown()) {
                lost();
            } else if (!sender.maySend(request)) {
                refused(request);
                lost();
            } else if (leaf.up) {
                request.sent = true;
                noteSentOn();
                sender.watch(leaf).onSent(this);
                leaf.calls.add(this);
                int start = leaf.start;
                at(nowMillis + 5 + random.nextInt(95), () -> run(start));
            } else {
                retry();
            }
        }

        private void noteSentOn() {
            List<Long> ends = endsByHarmful.getOrDefault(request.target, List.of());
            boolean known = ends.size() >= 3 && nowMillis - ends.get(2) > KNOWN_AFTER_MILLIS;
            if (request.harmful && known && sender.isInTouch()) {
                sentOn.computeIfAbsent(request.target, unused -> new HashSet<>())
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
            sender.watch(leaf).onAnswered(this);
            if (plant != Plant.ANSWERS_IGNORED) {
                sender.guard.recordSurvival(request.prints, nowNanos());
                entry.guard.recordSurvival(request.prints, nowNanos());
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

        void broke(boolean leafEnded) {
            over = true;
            sender.watch(leaf).onDisconnected(this, nowNanos());
            if (plant != Plant.BREAKS_IGNORED) {
                sender.guard.recordDisconnect(request.arrival(), nowNanos());
            }
            sender.confirm(leaf, leafEnded);
            retry();
        }

        private void retry() {
            if (attempt < 2) {
                at(nowMillis + 1, new Call(request, entry, sender, shard, attempt + 1)::send);
            } else {
                lost();
            }
        }

        private void lost() {
            request.shardsLost++;
            boolean hopeless = request.shardsOpen == 1 || request.shardsLost > 2;
            if (!hopeless || request.over) {
                return;
            }
            request.over = true;
            if (!request.sent) {
                request.onNotSent.run();
            } else {
                request.onBroke.run();
            }
            if (request.sent && !request.answered && request.scattered && plant != Plant.LOST_QUERIES_IGNORED) {
                entry.guard.recordNoShardAnswered(request.arrival(), nowNanos());
            }
            leafs.forEach(each -> each.giveUp(request));
            if (request.triesLeft > 0) {
                long pauseMillis = innocentTries == MOST_TRIES ? 1 : 100;
                at(
                        nowMillis + pauseMillis,
                        () -> arrive(anyHost(), request.target, request.shardsOpen > 1, false, request.triesLeft));
            }
        }
    }

    /** A leaf, through all of its starts. */
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
                breakCalls(true);
                at(nowMillis + 500 + random.nextInt(3_000), () -> {
                    up = true;
                    start++;
                });
            }
        }

        void reset() {
            breakCalls(false);
        }

        /** It leaves with nothing on it, as hosts stop sending before; another start takes its place. */
        void leave() {
            if (up && calls.isEmpty()) {
                start++;
            }
        }

        void giveUp(Request request) {
            for (Call call : List.copyOf(calls)) {
                if (call.request == request) {
                    calls.remove(call);
                    call.over = random.nextInt(2) == 0;
                    call.sender.watch(this).onAbandoned(call, nowNanos());
                }
            }
        }

        private void breakCalls(boolean ended) {
            List<Call> onIt = List.copyOf(calls);
            calls.clear();
            onIt.forEach(call -> call.broke(ended));
            if (ended) {
                hosts.forEach(host -> host.idleConnectionEnds(this));
            }
        }
    }

    /** A host, through all of its starts. */
    private final class Host {
        private final Map<Leaf, LeafEndDetector<Call>> watches = new HashMap<>();
        private HarmfulRequestFilter guard = new HarmfulRequestFilter();
        private long knownRevision;
        private long downUntilMillis;
        private long cutUntilMillis;
        private long troubledMillis = -DAY_MILLIS;

        boolean isDown() {
            return nowMillis < downUntilMillis;
        }

        boolean maySend(Request request) {
            return guard.permission(() -> request.prints) != Permission.QUARANTINED;
        }

        boolean isInTouch() {
            return nowMillis - troubledMillis > KNOWN_AFTER_MILLIS;
        }

        LeafEndDetector<Call> watch(Leaf leaf) {
            return watches.computeIfAbsent(leaf, unused -> new LeafEndDetector<>());
        }

        /** Most hosts have a connection to a leaf on which nothing is. */
        void idleConnectionEnds(Leaf leaf) {
            if (random.nextInt(10) < 7) {
                LeafEndDetector<Call> watch = watch(leaf);
                watch.onIdleConnectionClosed(nowNanos());
                if (watch.isEndSuspected()) {
                    confirm(leaf, true);
                }
            }
        }

        /** Finds out by connecting whether a leaf has ended. */
        void confirm(Leaf leaf, boolean leafEnded) {
            LeafEndDetector<Call> watch = watch(leaf);
            int start = leaf.start;
            long begunNanos = nowNanos();
            boolean seen = !leafsSoonBack || random.nextBoolean();
            at(nowMillis + 1 + random.nextInt(25), () -> {
                boolean down = (leafEnded && seen) || plant == Plant.BREAKS_COUNT;
                if (!down) {
                    watch.onConnected(begunNanos);
                    return;
                }
                List<Call> onIt = watch.onConnectFailed(nowNanos());
                if (!onIt.isEmpty()) {
                    accused++;
                    guard.recordLeafEnd(
                            leaf.number * 1_000L + start,
                            onIt.stream()
                                    .map(call -> call.request.arrival())
                                    .distinct()
                                    .toList(),
                            nowNanos());
                }
            });
        }

        void restart() {
            guard = new HarmfulRequestFilter();
            knownRevision = 0;
            watches.clear();
            away(500 + random.nextInt(1_000), false);
        }

        void away(long millis, boolean cutOnly) {
            cutUntilMillis = Math.max(cutUntilMillis, nowMillis + millis);
            downUntilMillis = cutOnly ? downUntilMillis : Math.max(downUntilMillis, nowMillis + millis);
            troubledMillis = Math.max(troubledMillis, nowMillis + millis);
        }

        private boolean reachesControl() {
            return nowMillis >= cutUntilMillis && !isDown();
        }

        void tell() {
            if (isDown() || plant == Plant.NOTHING_TOLD) {
                return;
            }
            HarmfulRequestFilter teller = guard;
            guard.takeReport()
                    .ifPresent(report -> at(nowMillis + 20 + random.nextInt(300), () -> {
                        if (reachesControl()) {
                            tables.applyReport(
                                    report.toBuilder().setAtMillis(nowMillis).build());
                        } else if (plant == Plant.NOTHING_TOLD_BY_OTHERS || random.nextBoolean()) {
                            teller.restoreReport(report);
                        } else {
                            anyHost().guard.adoptReport(report, nowNanos());
                        }
                    }));
        }

        void follow() {
            if (!reachesControl() || knownRevision == tables.revision()) {
                return;
            }
            TableDelta delta = tables.changesSince(knownRevision).build();
            knownRevision = delta.getRevision();
            HarmfulRequestFilter learner = guard;
            at(
                    nowMillis + LEARN_MILLIS,
                    () -> learner.applyReplicated(delta.getHarmList(), delta.getWhole(), nowNanos()));
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
