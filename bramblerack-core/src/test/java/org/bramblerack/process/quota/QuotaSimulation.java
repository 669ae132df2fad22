package org.bramblerack.process.quota;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.bramblerack.version.routing.HomeRegions;
import org.bramblerack.version.routing.RateLimit;
import org.bramblerack.version.routing.Team;
import org.bramblerack.version.routing.Teams;
import org.bramblerack.wire.RateCallResult;
import org.bramblerack.wire.RateVerdict;
import org.jspecify.annotations.Nullable;

/**
 * Simulates the quota clients and servers of several hosts on virtual time, with requests and faults chosen at random
 * from a seed.
 *
 * <p>An isolated host still accepts requests and reaches leaves, which is the worst case for the bound.
 */
final class QuotaSimulation {
    /** Faults that can be injected. */
    enum Fault {
        /** One host is killed and restarted. */
        KILL_HOST,
        /** About half of the hosts are killed at the same time. */
        KILL_HALF,
        /** All hosts are killed at the same time. */
        KILL_ALL,
        /** Hosts are stopped and restarted one after the other. */
        ROLLING_RESTART,
        /** Hosts are suspended, and their monotonic clocks stop meanwhile. */
        FREEZE_HOSTS,
        /** Single hosts are disconnected from all others and from control. */
        ISOLATE_HOSTS,
        /** A third of the hosts is disconnected from the others and from control. */
        ISOLATE_REGION,
        /** Control has no leader. */
        LOSE_CONTROL_LEADER,
        /** Limits are doubled or halved, and restored. */
        CHANGE_LIMITS,
        /** Some messages are delayed or lost. */
        SLOW_MESSAGES
    }

    /** A defect that replaces correct behavior, to verify that the checks detect it. */
    enum Defect {
        NONE,
        /** Hosts never report. */
        NOTHING_REPORTED,
        /** Replies to a new server's call omit earlier spending. */
        NO_HISTORY_REPORTED,
        /** Hosts that reach no server permit every request. */
        ISOLATED_UNLIMITED,
        /** Every request needs permission, and none is permitted. */
        NOTHING_PERMITTED
    }

    /** The request rate of a team as a multiple of its limit; {@code peak} is 0 for no peaks. */
    record Demand(double normal, double peak) {}

    static final QuotaBound BOUND = new QuotaBound(Duration.ofSeconds(5), 0.1, 20);
    private static final long SECOND_MICROS = 1_000_000;
    private static final long LENGTH_MICROS = 16 * SECOND_MICROS;
    private static final long WINDOW_MICROS =
            TimeUnit.MILLISECONDS.toMicros(BOUND.window().toMillis());
    private static final long MEMBER_TIMEOUT_MICROS = 6 * SECOND_MICROS;
    private static final long CONTROL_TIMEOUT_MICROS = SECOND_MICROS * 1_100 / 1_000;
    private static final int REGIONS = 3;
    /** A request is entitled to be permitted if its team stays within this share of its limit. */
    private static final double ENTITLED_SHARE = 0.9;

    private final SplittableRandom random;
    private final Defect defect;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Host> hosts = new ArrayList<>();
    private final Map<String, RateLimit> limits = new HashMap<>();
    private final Map<String, List<Long>> runs = new HashMap<>();
    private final Map<String, Integer> requested = new HashMap<>();
    private final Map<String, Integer> refused = new HashMap<>();
    private final List<LimitsVersion> versions = new ArrayList<>();
    private final Set<Host> listedHosts = new HashSet<>();
    private final Map<String, Double> levels = new HashMap<>();
    private final Map<String, Long> lastArrivalMicros = new HashMap<>();
    private final Set<Long> entitled = new HashSet<>();
    private int entitledRefused;
    private boolean slowMessages;
    private boolean controlLeaderLost;
    private long nowMicros;
    private long nextSequence;
    private long nextTicket;
    private int messages;

    QuotaSimulation(long seed, EnumSet<Fault> faults, int hostCount, int teamCount, Demand demand, Defect defect) {
        this.random = new SplittableRandom(seed);
        this.defect = defect;
        for (int number = 0; number < hostCount; number++) {
            hosts.add(new Host("h" + number, number % REGIONS));
        }
        listedHosts.addAll(hosts);
        for (int number = 0; number < teamCount; number++) {
            // Zipf distribution with exponent 1.2, about sixty requests per second in total.
            double perSecond = 28 / Math.pow(number + 1, 1.2);
            limits.put("t" + number, new RateLimit(perSecond, perSecond / 2));
        }
        versions.add(new LimitsVersion(-10 * SECOND_MICROS));
        // Hosts start earlier than a window before the first request, so that their history is complete.
        hosts.forEach(host -> host.start(-10 * SECOND_MICROS));
        hosts.forEach(Host::followControl);
        limits.keySet().forEach(team -> scheduleRequests(team, demand));
        faults.forEach(this::scheduleFault);
    }

    QuotaSimulation run() {
        while (!events.isEmpty() && events.peek().at <= LENGTH_MICROS) {
            Event next = events.poll();
            nowMicros = next.at;
            next.task.run();
        }
        return this;
    }

    /** Returns the maximum excess over the bound in any window of any team; not above 0 if the bound held. */
    double maxExcess() {
        double max = -Double.MAX_VALUE;
        for (String team : limits.keySet()) {
            max = Math.max(max, maxExcess(team));
        }
        return max;
    }

    private RateLimit limit(String team) {
        return requireNonNull(limits.get(team));
    }

    private double maxExcess(String team) {
        List<Long> times = runs.getOrDefault(team, List.of()).stream().sorted().toList();
        double max = -Double.MAX_VALUE;
        int first = 0;
        for (int last = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) >= WINDOW_MICROS) {
                first++;
            }
            max = Math.max(max, last - first + 1 - bound(team, times.get(first), times.get(last)));
        }
        return max;
    }

    /** A limit applies until one window after the last live host has replaced it. */
    private double bound(String team, long from, long to) {
        return versions.stream()
                .filter(version -> version.since <= to && version.lastHeldMicros() + WINDOW_MICROS >= from)
                .mapToDouble(version -> BOUND.maxRequests(requireNonNull(version.limits.get(team))))
                .max()
                .orElseThrow();
    }

    /** A version of all limits, with the hosts that apply it and the time when the last one ceased to. */
    private final class LimitsVersion {
        private final long since;
        private final Map<String, RateLimit> limits = new HashMap<>(QuotaSimulation.this.limits);
        private final Set<Host> holders = new HashSet<>();
        private long lastReleasedMicros;

        LimitsVersion(long since) {
            this.since = since;
            this.lastReleasedMicros = since;
        }

        long lastHeldMicros() {
            return holders.isEmpty() ? lastReleasedMicros : Long.MAX_VALUE / 2;
        }

        void release(Host host) {
            if (holders.remove(host)) {
                lastReleasedMicros = nowMicros;
            }
        }
    }

    int requested() {
        return requested.values().stream().mapToInt(Integer::intValue).sum();
    }

    int refused() {
        return refused.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Returns the number of requests within {@link #ENTITLED_SHARE} of their team's limit. */
    int entitled() {
        return entitled.size();
    }

    /** Returns the number of entitled requests that were refused. */
    int entitledRefused() {
        return entitledRefused;
    }

    /** Returns the fraction of a team's limit that was used within the given seconds. */
    double utilization(String team, int fromSecond, int toSecond) {
        long count = runs.getOrDefault(team, List.of()).stream()
                .filter(at -> at >= fromSecond * SECOND_MICROS && at < toSecond * SECOND_MICROS)
                .count();
        return count / (limit(team).perSecond() * (toSecond - fromSecond));
    }

    /** Returns the number of messages sent between hosts. */
    int messages() {
        return messages;
    }

    /** Schedules requests as a Poisson process; a team may have a peak, which may go to a single region. */
    private void scheduleRequests(String team, Demand demand) {
        boolean hasPeak = demand.peak() > 0 && random.nextInt(2) == 0;
        long peakFrom = SECOND_MICROS * random.nextInt(10);
        long peakTo = peakFrom + 2 * SECOND_MICROS + random.nextLong(6 * SECOND_MICROS);
        int peakRegion = random.nextInt(2 * REGIONS);
        long at = 0;
        while (at < LENGTH_MICROS) {
            boolean inPeak = hasPeak && at >= peakFrom && at < peakTo;
            double perSecond = limit(team).perSecond() * (inPeak ? demand.peak() : demand.normal());
            at += (long) (-Math.log(1 - random.nextDouble()) / perSecond * SECOND_MICROS);
            int region = inPeak ? peakRegion : REGIONS;
            schedule(at, () -> route(team, region));
        }
    }

    /** Returns true if the request now arriving is within {@link #ENTITLED_SHARE} of the team's limit. */
    private boolean isWithinLimit(String team) {
        RateLimit limit = limit(team);
        double maxLevel = Math.max(1, ENTITLED_SHARE * limit.burst());
        double refill = ENTITLED_SHARE
                * limit.perSecond()
                * (nowMicros - lastArrivalMicros.getOrDefault(team, 0L))
                / SECOND_MICROS;
        double level = Math.min(maxLevel, levels.getOrDefault(team, maxLevel) + refill) - 1;
        levels.put(team, level);
        lastArrivalMicros.put(team, nowMicros);
        return level >= 0;
    }

    private void route(String team, int region) {
        List<Host> ready = hosts.stream()
                .filter(host -> host.up && host.ready && (region >= REGIONS || host.region == region))
                .toList();
        if (!ready.isEmpty()) {
            ready.get(random.nextInt(ready.size())).handleRequest(team);
        }
    }

    private void scheduleFault(Fault fault) {
        long from = SECOND_MICROS / 2 + random.nextLong(8 * SECOND_MICROS);
        long length = SECOND_MICROS / 4 + random.nextLong(6 * SECOND_MICROS);
        Host chosen = hosts.get(random.nextInt(hosts.size()));
        switch (fault) {
            case KILL_HOST -> kill(chosen, from, length / 2);
            case KILL_HALF ->
                hosts.stream()
                        .filter(host -> random.nextBoolean())
                        .forEach(host -> kill(host, from, SECOND_MICROS / 2 + random.nextLong(2 * SECOND_MICROS)));
            case KILL_ALL ->
                hosts.forEach(host -> kill(host, from, SECOND_MICROS / 2 + random.nextLong(2 * SECOND_MICROS)));
            case ROLLING_RESTART -> rollingRestart(from);
            case FREEZE_HOSTS ->
                hosts.stream()
                        .filter(host -> host == chosen || random.nextInt(6) == 0)
                        .forEach(host -> freeze(host, from + random.nextLong(SECOND_MICROS), length));
            case ISOLATE_HOSTS ->
                hosts.stream()
                        .filter(host -> host == chosen || random.nextInt(6) == 0)
                        .forEach(host ->
                                isolate(host, 10 + hosts.indexOf(host), from + random.nextLong(SECOND_MICROS), length));
            case ISOLATE_REGION ->
                hosts.stream().filter(host -> host.region == 0).forEach(host -> isolate(host, 1, from, length));
            case LOSE_CONTROL_LEADER -> {
                schedule(from, () -> controlLeaderLost = true);
                schedule(from + length, () -> {
                    controlLeaderLost = false;
                    // A new leader restarts the time-out of every member.
                    hosts.forEach(host -> host.lastContactMicros = nowMicros);
                });
            }
            case CHANGE_LIMITS -> scheduleLimitChanges(from, length);
            case SLOW_MESSAGES -> {
                schedule(from, () -> slowMessages = true);
                schedule(from + length, () -> slowMessages = false);
            }
            default -> throw new AssertionError(fault);
        }
    }

    private void scheduleLimitChanges(long from, long length) {
        Map<String, RateLimit> before = new HashMap<>(limits);
        Map<String, RateLimit> changed = new HashMap<>();
        before.forEach((team, limit) -> {
            double factor = random.nextBoolean() ? 2 : 0.5;
            changed.put(team, new RateLimit(limit.perSecond() * factor, limit.burst() * factor));
        });
        schedule(from, () -> setLimits(changed));
        schedule(from + length, () -> setLimits(before));
    }

    private void setLimits(Map<String, RateLimit> changed) {
        limits.putAll(changed);
        versions.add(new LimitsVersion(nowMicros));
    }

    private void kill(Host host, long from, long length) {
        schedule(from, host::kill);
        schedule(from + length, () -> host.start(nowMicros));
    }

    private void freeze(Host host, long from, long length) {
        schedule(from, () -> host.frozen = true);
        schedule(from + length, () -> host.unfreeze(length));
    }

    private void isolate(Host host, int partition, long from, long length) {
        schedule(from, () -> host.partition = partition);
        schedule(from + length, () -> host.partition = 0);
    }

    private void rollingRestart(long from) {
        long at = from;
        for (Host host : hosts) {
            schedule(at, () -> listedHosts.remove(host));
            schedule(at + 3 * SECOND_MICROS, host::kill);
            schedule(at + 4 * SECOND_MICROS, () -> host.start(nowMicros));
            at += SECOND_MICROS * 13 / 10;
        }
    }

    private void schedule(long time, Runnable task) {
        events.add(new Event(time, nextSequence++, task));
    }

    private boolean connected(Host one, Host other) {
        return one.up && other.up && one.partition == other.partition;
    }

    private long latencyMicros(Host from, Host to) {
        if (from == to) {
            return 0;
        }
        long base = from.region == to.region ? SECOND_MICROS * 9 / 10_000 : SECOND_MICROS * 8 / 1_000;
        long delay = slowMessages && random.nextInt(5) == 0 ? random.nextLong(SECOND_MICROS / 10) : 0;
        return base + random.nextLong(SECOND_MICROS * 2 / 1_000) + delay;
    }

    private @Nullable Host host(String name) {
        return hosts.stream().filter(host -> host.name.equals(name)).findFirst().orElse(null);
    }

    private record Event(long at, long sequence, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    /** A host with its quota client and server, which exchanges messages with other hosts. */
    private final class Host {
        private final String name;
        private final int region;
        private final Map<Long, String> teamsByTicket = new HashMap<>();
        private final Deque<Runnable> deferredTasks = new ArrayDeque<>();
        private final Map<Long, Host> reporters = new HashMap<>();
        private QuotaClient client;
        private QuotaServer server;
        private int incarnation;
        private int partition;
        private boolean up;
        private boolean ready;
        private boolean frozen;
        private long frozenMicros;
        private long lastReachableMicros;
        private ImmutableSet<String> knownHosts = ImmutableSet.of();
        private Map<String, RateLimit> knownLimits = new HashMap<>();
        private boolean controlReachable;
        private long lastContactMicros;

        Host(String name, int region) {
            this.name = name;
            this.region = region;
            this.client = new QuotaClient(name, BOUND, new SplittableRandom(1), 0);
            this.server = new QuotaServer(name, BOUND, 0);
        }

        long nanos() {
            return TimeUnit.MICROSECONDS.toNanos(nowMicros - frozenMicros) + TimeUnit.DAYS.toNanos(1);
        }

        void start(long startMicros) {
            up = true;
            frozen = false;
            ready = startMicros < 0;
            controlReachable = startMicros < 0;
            incarnation++;
            long nanos = TimeUnit.MICROSECONDS.toNanos(startMicros - frozenMicros) + TimeUnit.DAYS.toNanos(1);
            client = new QuotaClient(name, BOUND, new SplittableRandom(random.nextLong()), nanos);
            server = new QuotaServer(name, BOUND, nanos);
            teamsByTicket.clear();
            reporters.clear();
            deferredTasks.clear();
            knownHosts = ImmutableSet.of();
            lastReachableMicros = nowMicros;
            lastContactMicros = nowMicros;
            if (startMicros < 0) {
                applyTables();
            }
            performActions();
        }

        void kill() {
            up = false;
            ready = false;
            incarnation++;
            versions.forEach(version -> version.release(this));
        }

        void unfreeze(long lengthMicros) {
            if (!frozen) {
                return;
            }
            frozen = false;
            frozenMicros += lengthMicros;
            if (lengthMicros >= SECOND_MICROS * 4 / 10) {
                client.handleSuspension(nanos());
                server.handleSuspension(nanos());
            }
            while (!deferredTasks.isEmpty()) {
                deferredTasks.remove().run();
            }
            performActions();
        }

        /** Applies the replicated tables periodically, and removes this host from them if it is silent too long. */
        void followControl() {
            boolean reached = up && !frozen && partition == 0 && !controlLeaderLost;
            if (reached) {
                lastContactMicros = nowMicros;
                lastReachableMicros = nowMicros;
                listedHosts.add(this);
            } else if (!controlLeaderLost && nowMicros - lastContactMicros > MEMBER_TIMEOUT_MICROS) {
                listedHosts.remove(this);
            }
            if (up && !frozen) {
                if (reached) {
                    applyTables();
                    ready = true;
                }
                boolean nowReachable = ready && (reached || nowMicros - lastReachableMicros < CONTROL_TIMEOUT_MICROS);
                if (nowReachable != controlReachable) {
                    controlReachable = nowReachable;
                    client.setControlReachable(nowReachable);
                    server.setControlReachable(nowReachable, nanos());
                }
                server.wake(nanos());
                client.wake(nanos());
                performActions();
            }
            schedule(nowMicros + SECOND_MICROS / 20 + random.nextLong(SECOND_MICROS / 10), this::followControl);
        }

        private void applyTables() {
            ImmutableSet<String> names = hosts.stream()
                    .filter(listedHosts::contains)
                    .map(host -> host.name)
                    .collect(ImmutableSet.toImmutableSet());
            List<Team> teams = limits.entrySet().stream()
                    .map(limit -> new Team(
                            limit.getKey(), ImmutableSet.of(), OptionalInt.empty(), limit.getValue(), HomeRegions.ANY))
                    .toList();
            server.setTeams(Teams.of(teams));
            versions.forEach(version -> version.release(this));
            versions.get(versions.size() - 1).holders.add(this);
            knownLimits = new HashMap<>(limits);
            if (!names.equals(knownHosts)) {
                knownHosts = names;
                server.setHosts(ImmutableList.copyOf(names), nanos());
                client.setHosts(ImmutableList.copyOf(names), nanos());
            }
            client.setControlReachable(true);
            server.setControlReachable(true, nanos());
            controlReachable = true;
        }

        void handleRequest(String team) {
            if (frozen) {
                deferredTasks.add(() -> handleRequest(team));
                return;
            }
            requested.merge(team, 1, Integer::sum);
            long ticket = nextTicket++;
            if (isWithinLimit(team)) {
                entitled.add(ticket);
            }
            teamsByTicket.put(ticket, team);
            client.request(ticket, team, knownLimits.getOrDefault(team, limit(team)), nanos());
            performActions();
        }

        /** Schedules a task on this host, which is dropped if the host restarts before. */
        private void scheduleHere(long time, Runnable task) {
            int scheduledIn = incarnation;
            schedule(time, () -> {
                if (incarnation == scheduledIn) {
                    runWhenUnfrozen(task);
                }
            });
        }

        private void runWhenUnfrozen(Runnable task) {
            if (frozen) {
                deferredTasks.add(() -> runWhenUnfrozen(task));
            } else {
                task.run();
                performActions();
            }
        }

        private void sendTo(Host to, Runnable task) {
            if (to != this) {
                messages++;
            }
            long arrives = nowMicros + latencyMicros(this, to);
            boolean lost = slowMessages && random.nextInt(50) == 0;
            schedule(arrives, () -> {
                if (connected(this, to) && !lost) {
                    to.runWhenUnfrozen(task);
                }
            });
        }

        private void performActions() {
            client.takeActions().forEach(this::perform);
            server.takeActions().forEach(this::perform);
        }

        private void perform(QuotaAction action) {
            if (action instanceof QuotaAction.Permit permit) {
                run(teamsByTicket.remove(permit.ticket()));
            } else if (action instanceof QuotaAction.Refuse refuse) {
                refuse(refuse);
            } else if (action instanceof QuotaAction.Report report) {
                report(report);
            } else if (action instanceof QuotaAction.Answer answer) {
                answer(answer);
            } else if (action instanceof QuotaAction.Call call) {
                call(call);
            } else if (action instanceof QuotaAction.Notify notify) {
                hosts.forEach(to -> sendTo(to, () -> to.client.handleNotice(notify.notice())));
            } else if (action instanceof QuotaAction.Wake wake) {
                long inMicros = Math.max(0, TimeUnit.NANOSECONDS.toMicros(wake.atNanos() - nanos()) + 1);
                scheduleHere(nowMicros + inMicros, () -> {
                    client.wake(nanos());
                    server.wake(nanos());
                });
            }
        }

        /** Runs a permitted request; one in twenty does not run and is refunded. */
        private void run(String team) {
            if (random.nextInt(20) == 0) {
                scheduleHere(nowMicros + random.nextLong(SECOND_MICROS / 2), () -> client.refund(team, nanos()));
            } else {
                runs.computeIfAbsent(team, unused -> new ArrayList<>()).add(nowMicros);
            }
        }

        private void refuse(QuotaAction.Refuse refuse) {
            String team = teamsByTicket.remove(refuse.ticket());
            entitledRefused += entitled.contains(refuse.ticket()) ? 1 : 0;
            if (defect == Defect.ISOLATED_UNLIMITED && refuse.source() == QuotaAction.DecisionSource.ALONE) {
                run(team);
                return;
            }
            refused.merge(team, 1, Integer::sum);
        }

        private void report(QuotaAction.Report report) {
            Host to = host(report.host());
            if (defect == Defect.NOTHING_REPORTED || defect == Defect.NOTHING_PERMITTED) {
                boolean permits = defect == Defect.NOTHING_REPORTED;
                RateVerdict.Builder verdict = RateVerdict.newBuilder();
                report.report()
                        .getTeamsList()
                        .forEach(team -> verdict.addTeamsBuilder()
                                .setTeam(team.getTeam())
                                .setMustAsk(!permits)
                                .setGranted(permits ? team.getAsked() : 0));
                scheduleHere(nowMicros, () -> client.handleVerdict(report.id(), verdict.build(), nanos()));
                return;
            }
            if (to == null || !to.up) {
                scheduleHere(nowMicros, () -> client.handleReportFailure(report.id(), nanos()));
                return;
            }
            scheduleHere(
                    nowMicros
                            + TimeUnit.NANOSECONDS.toMicros(
                                    report.answerTimeout().toNanos()),
                    () -> client.handleReportFailure(report.id(), nanos()));
            int reportedIn = incarnation;
            sendTo(to, () -> {
                if (incarnation == reportedIn) {
                    long token = nextTicket++;
                    to.reporters.put(token, this);
                    to.server.handleReport(name, (token << 20) | report.id(), report.report(), to.nanos());
                }
            });
        }

        private void answer(QuotaAction.Answer answer) {
            Host to = reporters.remove(answer.token() >> 20);
            if (to != null) {
                int answeredIn = to.incarnation;
                sendTo(to, () -> {
                    if (to.incarnation == answeredIn) {
                        to.client.handleVerdict(answer.token() & 0xfffff, answer.verdict(), to.nanos());
                    }
                });
            }
        }

        private void call(QuotaAction.Call call) {
            Host to = host(call.host());
            if (to == null) {
                return;
            }
            sendTo(to, () -> {
                RateCallResult history = to.client.handleCall(name, call.call(), to.nanos());
                if (history.getFollows()) {
                    to.server.handleSuperseded(call.call().getOwner(), name, to.nanos());
                }
                RateCallResult result = defect == Defect.NO_HISTORY_REPORTED
                        ? history.toBuilder().clearTeams().build()
                        : history;
                to.sendTo(
                        this, () -> server.handleCallResult(to.name, call.call().getOwner(), result, nanos()));
            });
        }
    }
}
