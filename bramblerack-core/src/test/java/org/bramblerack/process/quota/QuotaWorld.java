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
 * Hosts that spend the limits of teams on simulated time, drawn from a seed.
 *
 * <p>A host that is cut off from others still takes requests and reaches leafs, which is the worst that it can do.
 */
final class QuotaWorld {
    /** What may happen beside requests. */
    enum Trouble {
        /** Hosts are killed and start again. */
        KILL,
        /** Half of the hosts are killed at one moment. */
        HERD_KILL,
        /** All hosts are killed at one moment. */
        ALL_KILLED,
        /** Hosts are stopped and started in turn. */
        ROLL,
        /** Hosts stand still for seconds, and their clocks leave that out. */
        FREEZE,
        /** Single hosts are cut off from all others and from control. */
        CUT,
        /** A third of the hosts is cut off from the others and from control. */
        REGION_CUT,
        /** Control has no leader. */
        CONTROL_LOST,
        /** Limits are raised and lowered. */
        LIMITS,
        /** Some messages take longer, or are lost. */
        SLOW_MESSAGES
    }

    /** A fault of the product, planted to see that the checks find it. */
    enum Plant {
        NONE,
        /** Hosts never report. */
        NOTHING_REPORTED,
        /** A new keeper is told nothing of what was spent before. */
        NOTHING_TOLD,
        /** Hosts that reach no keeper make every request. */
        ALONE_IS_FREE,
        /** Whoever keeps account has every request asked for and permits none. */
        NOTHING_PERMITTED
    }

    /** How often a team's callers come, in parts of its limit. */
    record Demand(double usual, double hot) {}

    static final QuotaBound BOUND = new QuotaBound(Duration.ofSeconds(5), 0.1, 20);
    private static final long SECOND = 1_000_000;
    private static final long LENGTH = 16 * SECOND;
    private static final long WINDOW =
            TimeUnit.MILLISECONDS.toMicros(BOUND.window().toMillis());
    private static final long DROPPED_AFTER = 6 * SECOND;
    private static final long CONTROL_SILENCE = SECOND * 1_100 / 1_000;
    private static final int REGIONS = 3;
    /** A team that keeps to this part of its limit is owed every request. */
    private static final double KEPT = 0.9;

    private final SplittableRandom random;
    private final Plant plant;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Host> hosts = new ArrayList<>();
    private final Map<String, RateLimit> limits = new HashMap<>();
    private final Map<String, List<Long>> runs = new HashMap<>();
    private final Map<String, Integer> asked = new HashMap<>();
    private final Map<String, Integer> refused = new HashMap<>();
    private final List<LimitsVersion> versions = new ArrayList<>();
    private final Set<Host> listed = new HashSet<>();
    private final Map<String, Double> levels = new HashMap<>();
    private final Map<String, Long> cameAt = new HashMap<>();
    private final Set<Long> owed = new HashSet<>();
    private int owedRefused;
    private boolean slowMessages;
    private boolean controlLost;
    private long now;
    private long order;
    private long tickets;
    private int messages;

    QuotaWorld(long seed, EnumSet<Trouble> troubles, int hostCount, int teamCount, Demand demand, Plant plant) {
        this.random = new SplittableRandom(seed);
        this.plant = plant;
        for (int number = 0; number < hostCount; number++) {
            hosts.add(new Host("h" + number, number % REGIONS));
        }
        listed.addAll(hosts);
        for (int number = 0; number < teamCount; number++) {
            // Zipf's law with exponent 1.2, as seen at the users' sites, with sixty requests a second in all.
            double perSecond = 28 / Math.pow(number + 1, 1.2);
            limits.put("t" + number, new RateLimit(perSecond, perSecond / 2));
        }
        versions.add(new LimitsVersion(-10 * SECOND));
        // Hosts have run for longer than the window before the first request.
        hosts.forEach(host -> host.start(-10 * SECOND));
        hosts.forEach(Host::follow);
        limits.keySet().forEach(team -> drawDemand(team, demand));
        troubles.forEach(this::draw);
    }

    QuotaWorld play() {
        while (!events.isEmpty() && events.peek().at <= LENGTH) {
            Event next = events.poll();
            now = next.at;
            next.task.run();
        }
        return this;
    }

    /** Returns by how many requests the worst window of any team was over the bound; not above 0 if none was. */
    double worst() {
        double worst = -Double.MAX_VALUE;
        for (String team : limits.keySet()) {
            worst = Math.max(worst, worst(team));
        }
        return worst;
    }

    private RateLimit limit(String team) {
        return requireNonNull(limits.get(team));
    }

    private double worst(String team) {
        List<Long> times = runs.getOrDefault(team, List.of()).stream().sorted().toList();
        double worst = -Double.MAX_VALUE;
        int first = 0;
        for (int last = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) >= WINDOW) {
                first++;
            }
            worst = Math.max(worst, last - first + 1 - bound(team, times.get(first), times.get(last)));
        }
        return worst;
    }

    /** A limit counts until a window after the last host that is up has learnt of another one. */
    private double bound(String team, long from, long to) {
        return versions.stream()
                .filter(version -> version.since <= to && version.lastHeld() + WINDOW >= from)
                .mapToDouble(version -> BOUND.maxRequests(requireNonNull(version.limits.get(team))))
                .max()
                .orElseThrow();
    }

    /** One version of all limits, and by whom it was held until when. */
    private final class LimitsVersion {
        private final long since;
        private final Map<String, RateLimit> limits = new HashMap<>(QuotaWorld.this.limits);
        private final Set<Host> holders = new HashSet<>();
        private long lastLeft;

        LimitsVersion(long since) {
            this.since = since;
            this.lastLeft = since;
        }

        long lastHeld() {
            return holders.isEmpty() ? lastLeft : Long.MAX_VALUE / 2;
        }

        void leave(Host host) {
            if (holders.remove(host)) {
                lastLeft = now;
            }
        }
    }

    int asked() {
        return asked.values().stream().mapToInt(Integer::intValue).sum();
    }

    int refused() {
        return refused.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Returns how many requests came of teams that had kept to 0.9 of their limits. */
    int owed() {
        return owed.size();
    }

    /** Returns how many of these were refused. */
    int owedRefused() {
        return owedRefused;
    }

    /** Returns the share of a team's limit that it used from one second to another. */
    double use(String team, int fromSecond, int toSecond) {
        long count = runs.getOrDefault(team, List.of()).stream()
                .filter(at -> at >= fromSecond * SECOND && at < toSecond * SECOND)
                .count();
        return count / (limit(team).perSecond() * (toSecond - fromSecond));
    }

    /** Returns how many messages passed between hosts. */
    int messages() {
        return messages;
    }

    /** Callers come at random; for some seconds, some teams send many times as much, and some to one region only. */
    private void drawDemand(String team, Demand demand) {
        boolean hot = demand.hot() > 0 && random.nextInt(2) == 0;
        long hotFrom = SECOND * random.nextInt(10);
        long hotTo = hotFrom + 2 * SECOND + random.nextLong(6 * SECOND);
        int onlyRegion = random.nextInt(2 * REGIONS);
        long at = 0;
        while (at < LENGTH) {
            boolean isHot = hot && at >= hotFrom && at < hotTo;
            double perSecond = limit(team).perSecond() * (isHot ? demand.hot() : demand.usual());
            at += (long) (-Math.log(1 - random.nextDouble()) / perSecond * SECOND);
            int region = isHot ? onlyRegion : REGIONS;
            at(at, () -> arrive(team, region));
        }
    }

    /** Returns true if all that a team's callers sent so far keeps to a part of its limit. */
    private boolean keepsToLimit(String team) {
        RateLimit limit = limit(team);
        double most = Math.max(1, KEPT * limit.burst());
        double refill = KEPT * limit.perSecond() * (now - cameAt.getOrDefault(team, 0L)) / SECOND;
        double level = Math.min(most, levels.getOrDefault(team, most) + refill) - 1;
        levels.put(team, level);
        cameAt.put(team, now);
        return level >= 0;
    }

    private void arrive(String team, int region) {
        List<Host> open = hosts.stream()
                .filter(host -> host.up && host.ready && (region >= REGIONS || host.region == region))
                .toList();
        if (!open.isEmpty()) {
            open.get(random.nextInt(open.size())).arrive(team);
        }
    }

    private void draw(Trouble trouble) {
        long from = SECOND / 2 + random.nextLong(8 * SECOND);
        long length = SECOND / 4 + random.nextLong(6 * SECOND);
        Host one = hosts.get(random.nextInt(hosts.size()));
        switch (trouble) {
            case KILL -> kill(one, from, length / 2);
            case HERD_KILL ->
                hosts.stream()
                        .filter(host -> random.nextBoolean())
                        .forEach(host -> kill(host, from, SECOND / 2 + random.nextLong(2 * SECOND)));
            case ALL_KILLED -> hosts.forEach(host -> kill(host, from, SECOND / 2 + random.nextLong(2 * SECOND)));
            case ROLL -> roll(from);
            case FREEZE ->
                hosts.stream()
                        .filter(host -> host == one || random.nextInt(6) == 0)
                        .forEach(host -> freeze(host, from + random.nextLong(SECOND), length));
            case CUT ->
                hosts.stream()
                        .filter(host -> host == one || random.nextInt(6) == 0)
                        .forEach(host -> cut(host, 10 + hosts.indexOf(host), from + random.nextLong(SECOND), length));
            case REGION_CUT ->
                hosts.stream().filter(host -> host.region == 0).forEach(host -> cut(host, 1, from, length));
            case CONTROL_LOST -> {
                at(from, () -> controlLost = true);
                at(from + length, () -> {
                    controlLost = false;
                    // A host that begins to lead gives every member a full period of grace.
                    hosts.forEach(host -> host.heard = now);
                });
            }
            case LIMITS -> drawLimits(from, length);
            case SLOW_MESSAGES -> {
                at(from, () -> slowMessages = true);
                at(from + length, () -> slowMessages = false);
            }
            default -> throw new AssertionError(trouble);
        }
    }

    private void drawLimits(long from, long length) {
        Map<String, RateLimit> before = new HashMap<>(limits);
        Map<String, RateLimit> others = new HashMap<>();
        before.forEach((team, limit) -> {
            double factor = random.nextBoolean() ? 2 : 0.5;
            others.put(team, new RateLimit(limit.perSecond() * factor, limit.burst() * factor));
        });
        at(from, () -> putLimits(others));
        at(from + length, () -> putLimits(before));
    }

    private void putLimits(Map<String, RateLimit> changed) {
        limits.putAll(changed);
        versions.add(new LimitsVersion(now));
    }

    private void kill(Host host, long from, long length) {
        at(from, host::kill);
        at(from + length, () -> host.start(now));
    }

    private void freeze(Host host, long from, long length) {
        at(from, () -> host.frozen = true);
        at(from + length, () -> host.wakeUp(length));
    }

    private void cut(Host host, int side, long from, long length) {
        at(from, () -> host.side = side);
        at(from + length, () -> host.side = 0);
    }

    private void roll(long from) {
        long at = from;
        for (Host host : hosts) {
            at(at, () -> listed.remove(host));
            at(at + 3 * SECOND, host::kill);
            at(at + 4 * SECOND, () -> host.start(now));
            at += SECOND * 13 / 10;
        }
    }

    private void at(long time, Runnable task) {
        events.add(new Event(time, order++, task));
    }

    private boolean connected(Host one, Host other) {
        return one.up && other.up && one.side == other.side;
    }

    private long way(Host from, Host to) {
        if (from == to) {
            return 0;
        }
        long usual = from.region == to.region ? SECOND * 9 / 10_000 : SECOND * 8 / 1_000;
        long late = slowMessages && random.nextInt(5) == 0 ? random.nextLong(SECOND / 10) : 0;
        return usual + random.nextLong(SECOND * 2 / 1_000) + late;
    }

    private @Nullable Host host(String name) {
        return hosts.stream().filter(host -> host.name.equals(name)).findFirst().orElse(null);
    }

    private record Event(long at, long order, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** A host: its two parts, and the messages between them and others. */
    private final class Host {
        private final String name;
        private final int region;
        private final Map<Long, String> teamsByTicket = new HashMap<>();
        private final Deque<Runnable> whileFrozen = new ArrayDeque<>();
        private final Map<Long, Host> askers = new HashMap<>();
        private QuotaClient spender;
        private QuotaServer keeper;
        private int life;
        private int side;
        private boolean up;
        private boolean ready;
        private boolean frozen;
        private long leftOut;
        private long lastCurrent;
        private ImmutableSet<String> known = ImmutableSet.of();
        private Map<String, RateLimit> learnt = new HashMap<>();
        private boolean current;
        private long heard;

        Host(String name, int region) {
            this.name = name;
            this.region = region;
            this.spender = new QuotaClient(name, BOUND, new SplittableRandom(1), 0);
            this.keeper = new QuotaServer(name, BOUND, 0);
        }

        long nanos() {
            return TimeUnit.MICROSECONDS.toNanos(now - leftOut) + TimeUnit.DAYS.toNanos(1);
        }

        void start(long began) {
            up = true;
            frozen = false;
            ready = began < 0;
            current = began < 0;
            life++;
            long nanos = TimeUnit.MICROSECONDS.toNanos(began - leftOut) + TimeUnit.DAYS.toNanos(1);
            spender = new QuotaClient(name, BOUND, new SplittableRandom(random.nextLong()), nanos);
            keeper = new QuotaServer(name, BOUND, nanos);
            teamsByTicket.clear();
            askers.clear();
            whileFrozen.clear();
            known = ImmutableSet.of();
            lastCurrent = now;
            heard = now;
            if (began < 0) {
                learn();
            }
            takeOut();
        }

        void kill() {
            up = false;
            ready = false;
            life++;
            versions.forEach(version -> version.leave(this));
        }

        void wakeUp(long length) {
            if (!frozen) {
                return;
            }
            frozen = false;
            leftOut += length;
            if (length >= SECOND * 4 / 10) {
                spender.handleSuspension(nanos());
                keeper.handleSuspension(nanos());
            }
            while (!whileFrozen.isEmpty()) {
                whileFrozen.remove().run();
            }
            takeOut();
        }

        /** Follows the tables, which drop hosts that were silent for long. */
        void follow() {
            boolean reached = up && !frozen && side == 0 && !controlLost;
            if (reached) {
                heard = now;
                lastCurrent = now;
                listed.add(this);
            } else if (!controlLost && now - heard > DROPPED_AFTER) {
                listed.remove(this);
            }
            if (up && !frozen) {
                if (reached) {
                    learn();
                    ready = true;
                }
                boolean isCurrent = ready && (reached || now - lastCurrent < CONTROL_SILENCE);
                if (isCurrent != current) {
                    current = isCurrent;
                    spender.setControlReachable(isCurrent);
                    keeper.setControlReachable(isCurrent, nanos());
                }
                keeper.wake(nanos());
                spender.wake(nanos());
                takeOut();
            }
            at(now + SECOND / 20 + random.nextLong(SECOND / 10), this::follow);
        }

        private void learn() {
            ImmutableSet<String> names = hosts.stream()
                    .filter(listed::contains)
                    .map(host -> host.name)
                    .collect(ImmutableSet.toImmutableSet());
            List<Team> teams = limits.entrySet().stream()
                    .map(limit -> new Team(
                            limit.getKey(), ImmutableSet.of(), OptionalInt.empty(), limit.getValue(), HomeRegions.ANY))
                    .toList();
            keeper.setTeams(Teams.of(teams));
            versions.forEach(version -> version.leave(this));
            versions.get(versions.size() - 1).holders.add(this);
            learnt = new HashMap<>(limits);
            if (!names.equals(known)) {
                known = names;
                keeper.setHosts(ImmutableList.copyOf(names), nanos());
                spender.setHosts(ImmutableList.copyOf(names), nanos());
            }
            spender.setControlReachable(true);
            keeper.setControlReachable(true, nanos());
            current = true;
        }

        void arrive(String team) {
            if (frozen) {
                whileFrozen.add(() -> arrive(team));
                return;
            }
            asked.merge(team, 1, Integer::sum);
            long ticket = tickets++;
            if (keepsToLimit(team)) {
                owed.add(ticket);
            }
            teamsByTicket.put(ticket, team);
            spender.request(ticket, team, learnt.getOrDefault(team, limit(team)), nanos());
            takeOut();
        }

        /** Has something done here later, unless this life of the host is over. */
        private void later(long time, Runnable task) {
            int ofLife = life;
            at(time, () -> {
                if (life == ofLife) {
                    whenAwake(task);
                }
            });
        }

        private void whenAwake(Runnable task) {
            if (frozen) {
                whileFrozen.add(() -> whenAwake(task));
            } else {
                task.run();
                takeOut();
            }
        }

        private void sendTo(Host to, Runnable task) {
            if (to != this) {
                messages++;
            }
            long arrives = now + way(this, to);
            boolean lost = slowMessages && random.nextInt(50) == 0;
            at(arrives, () -> {
                if (connected(this, to) && !lost) {
                    to.whenAwake(task);
                }
            });
        }

        private void takeOut() {
            spender.takeActions().forEach(this::take);
            keeper.takeActions().forEach(this::take);
        }

        private void take(QuotaAction action) {
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
            } else if (action instanceof QuotaAction.Notify tell) {
                hosts.forEach(to -> sendTo(to, () -> to.spender.handleNotice(tell.notice())));
            } else if (action instanceof QuotaAction.Wake wake) {
                long inMicros = Math.max(0, TimeUnit.NANOSECONDS.toMicros(wake.atNanos() - nanos()) + 1);
                later(now + inMicros, () -> {
                    spender.wake(nanos());
                    keeper.wake(nanos());
                });
            }
        }

        /** Makes a request; one in twenty turns out not to have run. */
        private void run(String team) {
            if (random.nextInt(20) == 0) {
                later(now + random.nextLong(SECOND / 2), () -> spender.refund(team, nanos()));
            } else {
                runs.computeIfAbsent(team, unused -> new ArrayList<>()).add(now);
            }
        }

        private void refuse(QuotaAction.Refuse refuse) {
            String team = teamsByTicket.remove(refuse.ticket());
            owedRefused += owed.contains(refuse.ticket()) ? 1 : 0;
            if (plant == Plant.ALONE_IS_FREE && refuse.source() == QuotaAction.DecisionSource.ALONE) {
                run(team);
                return;
            }
            refused.merge(team, 1, Integer::sum);
        }

        private void report(QuotaAction.Report report) {
            Host to = host(report.host());
            if (plant == Plant.NOTHING_REPORTED || plant == Plant.NOTHING_PERMITTED) {
                boolean permits = plant == Plant.NOTHING_REPORTED;
                RateVerdict.Builder verdict = RateVerdict.newBuilder();
                report.report()
                        .getTeamsList()
                        .forEach(team -> verdict.addTeamsBuilder()
                                .setTeam(team.getTeam())
                                .setMustAsk(!permits)
                                .setGranted(permits ? team.getAsked() : 0));
                later(now, () -> spender.handleVerdict(report.id(), verdict.build(), nanos()));
                return;
            }
            if (to == null || !to.up) {
                later(now, () -> spender.handleReportFailure(report.id(), nanos()));
                return;
            }
            later(
                    now + TimeUnit.NANOSECONDS.toMicros(report.answerTimeout().toNanos()),
                    () -> spender.handleReportFailure(report.id(), nanos()));
            int ofLife = life;
            sendTo(to, () -> {
                if (life == ofLife) {
                    long token = tickets++;
                    to.askers.put(token, this);
                    to.keeper.handleReport(name, (token << 20) | report.id(), report.report(), to.nanos());
                }
            });
        }

        private void answer(QuotaAction.Answer answer) {
            Host to = askers.remove(answer.token() >> 20);
            if (to != null) {
                int ofLife = to.life;
                sendTo(to, () -> {
                    if (to.life == ofLife) {
                        to.spender.handleVerdict(answer.token() & 0xfffff, answer.verdict(), to.nanos());
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
                RateCallResult told = to.spender.handleCall(name, call.call(), to.nanos());
                if (told.getFollows()) {
                    to.keeper.handleSuperseded(call.call().getOwner(), name, to.nanos());
                }
                RateCallResult result = plant == Plant.NOTHING_TOLD
                        ? told.toBuilder().clearTeams().build()
                        : told;
                to.sendTo(
                        this, () -> keeper.handleCallResult(to.name, call.call().getOwner(), result, nanos()));
            });
        }
    }
}
