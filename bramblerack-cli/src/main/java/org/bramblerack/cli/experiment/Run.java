package org.bramblerack.cli.experiment;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.bramblerack.process.leaf.RoutingPolicy;
import org.bramblerack.request.routed.MergedAnswer;
import org.bramblerack.request.routed.RefusalReason;

/**
 * One run of an experiment: one policy, one seed.
 *
 * <p>Runs are deterministic: the same seed gives the same arrivals, faults and pauses under every policy, and the same
 * run when it is repeated. Not safe for use by several threads.
 */
final class Run {
    /** The time before the first query, in which the pauses of leaves spread over all phases. */
    private static final Duration WARM_UP = Duration.ofSeconds(15);
    /** How long a caller waits before it retries a refused query. */
    private static final long RETRY_DELAY_NANOS = Duration.ofMillis(100).toNanos();

    private final Experiment experiment;
    private final SimulatedTime time = new SimulatedTime();
    private final RandomGenerator workRandom;
    /** Separate from the other generators, so that the oracle does not change a run. */
    private final RandomGenerator oracleRandom;

    private final OutcomeCounts counts;
    private final Checks checks;
    private final List<ModelLeaf> leaves = new ArrayList<>();
    private final List<ModelHost> hosts = new ArrayList<>();
    private long lastNumber;
    private long lastSignature;

    private Run(Experiment experiment, RoutingPolicy policy, int seed) {
        this.experiment = experiment;
        this.counts = new OutcomeCounts((int) experiment.length().toSeconds());
        this.checks = new Checks(experiment.fleet());
        this.oracleRandom = new SplittableRandom(~seed);
        SplittableRandom seeds = new SplittableRandom(seed);
        RandomGenerator placementRandom = seeds.split();
        this.workRandom = seeds.split();
        List<List<ModelLeaf>> shards = createLeaves(seeds.split());
        RandomGenerator faultRandom = seeds.split();
        RandomGenerator arrivalRandom = seeds.split();
        for (Fleet.Zone zone : experiment.fleet().zones()) {
            for (int number = 0; number < zone.hosts(); number++) {
                String name = zone.name() + "-" + number;
                hosts.add(new ModelHost(
                        name, hosts.size(), zone, experiment.fleet(), shards, policy, time, seeds.split()));
            }
        }
        ModelHost.registerPeers(hosts);
        experiment.faults().forEach(fault -> scheduleFault(fault, faultRandom));
        experiment.loads().forEach(load -> scheduleArrivals(load, arrivalRandom, placementRandom));
    }

    /** The counts and the violated invariants of a run. */
    record Result(OutcomeCounts counts, ImmutableList<String> violations) {}

    /** Runs one policy with one seed. */
    static Result of(Experiment experiment, RoutingPolicy policy, int seed) {
        Run run = new Run(experiment, policy, seed);
        Duration longestDeadline = experiment.loads().stream()
                .map(Load::deadline)
                .max(Duration::compareTo)
                .orElse(Duration.ZERO);
        run.time.runUntil(
                WARM_UP.plus(experiment.length()).plus(longestDeadline).toNanos());
        run.hosts.forEach(host -> run.counts.addConnectionsMade(host.connectionsMade()));
        return new Result(run.counts, ImmutableList.copyOf(run.checks.finish(run.leaves)));
    }

    SimulatedTime time() {
        return time;
    }

    Fleet fleet() {
        return experiment.fleet();
    }

    OutcomeCounts counts() {
        return counts;
    }

    Checks checks() {
        return checks;
    }

    String newSignature() {
        return Long.toString(++lastSignature);
    }

    /** Returns a random duration of the work of one call. */
    long randomWorkNanos(Load load) {
        return randomWorkNanos(load, workRandom);
    }

    private static long randomWorkNanos(Load load, RandomGenerator random) {
        double factor = Math.exp(load.spread() * random.nextGaussian() - load.spread() * load.spread() / 2);
        boolean tail = random.nextDouble() < load.tailShare();
        return (long) (load.work().toNanos() * factor * (tail ? load.tailFactor() : 1));
    }

    private List<List<ModelLeaf>> createLeaves(SplittableRandom random) {
        List<List<ModelLeaf>> shards = new ArrayList<>();
        for (int shard = 0; shard < fleet().shards(); shard++) {
            List<ModelLeaf> replicas = new ArrayList<>();
            for (String zone : fleet().replicaZones()) {
                String id = "shard-" + shard + "-" + replicas.size();
                double workFactor = fleet().speedSkew().workFactorOf(shard, replicas.size());
                replicas.add(new ModelLeaf(id, shard, zone, workFactor, fleet(), time, random.split()));
            }
            leaves.addAll(replicas);
            shards.add(replicas);
        }
        return shards;
    }

    private void scheduleFault(InjectedFault fault, RandomGenerator random) {
        List<ModelLeaf> chosen = chooseLeaves((int) Math.round(fault.share() * leaves.size()), random);
        long beginNanos = WARM_UP.plus(fault.start()).toNanos();
        long endNanos = beginNanos + fault.duration().toNanos();
        if (fault.kind() != InjectedFault.Kind.FLAPPING) {
            time.at(beginNanos, () -> chosen.forEach(leaf -> leaf.beginFault(fault)));
            time.at(endNanos, () -> chosen.forEach(leaf -> leaf.endFault(fault)));
            return;
        }
        long halfPeriodNanos = (long) (fault.strength() * 1e9);
        for (long at = beginNanos; at < endNanos; at += 2 * halfPeriodNanos) {
            time.at(at, () -> chosen.forEach(leaf -> leaf.beginFault(fault)));
            time.at(Math.min(endNanos, at + halfPeriodNanos), () -> chosen.forEach(leaf -> leaf.endFault(fault)));
        }
    }

    /** Chooses leaves at random, but never all replicas of a shard. */
    private List<ModelLeaf> chooseLeaves(int count, RandomGenerator random) {
        List<ModelLeaf> candidates = new ArrayList<>(leaves);
        List<ModelLeaf> chosen = new ArrayList<>();
        while (chosen.size() < count && !candidates.isEmpty()) {
            ModelLeaf leaf = candidates.remove(random.nextInt(candidates.size()));
            long chosenOfShard = chosen.stream()
                    .filter(other -> other.shard() == leaf.shard())
                    .count();
            if (chosenOfShard + 1 < fleet().replicaZones().size()) {
                chosen.add(leaf);
            }
        }
        return chosen;
    }

    private void scheduleArrivals(Load load, RandomGenerator arrivalRandom, RandomGenerator placementRandom) {
        double seconds = 0;
        while (true) {
            seconds += -Math.log(1 - arrivalRandom.nextDouble()) / load.perSecond();
            if (seconds >= experiment.length().toNanos() / 1e9) {
                return;
            }
            long atNanos = WARM_UP.toNanos() + (long) (seconds * 1e9);
            ModelHost host = hosts.get(placementRandom.nextInt(hosts.size()));
            ModelHost other = hosts.get(placementRandom.nextInt(hosts.size()));
            long deadlineNanos = atNanos + load.deadline().toNanos();
            Arrival arrival = new Arrival(++lastNumber, load, atNanos, deadlineNanos, 0);
            time.at(atNanos, () -> {
                counts.recordQuery(load, sinceStartNanos(atNanos));
                send(arrival, host, other);
            });
        }
    }

    private long sinceStartNanos(long atNanos) {
        return atNanos - WARM_UP.toNanos();
    }

    private void send(Arrival arrival, ModelHost host, ModelHost next) {
        long networkDelayNanos = fleet().toCaller().toNanos();
        time.after(networkDelayNanos, () -> {
            if (arrival.attempt() == 0) {
                counts.recordOracle(arrival.load(), 2 * networkDelayNanos + oracleNanos(arrival.load(), host));
            }
            ModelQuery.forCaller(this, host, arrival, new CallerSink(arrival, next))
                    .start();
        });
    }

    /**
     * Returns how long a query would take if each shard were called once, at the replica that answers first given the
     * true state of all leaves.
     */
    private long oracleNanos(Load load, ModelHost host) {
        long lastNanos = 0;
        for (int shard = 0; shard < fleet().shards(); shard++) {
            long workNanos = randomWorkNanos(load, oracleRandom);
            int number = shard;
            long bestNanos = leaves.stream()
                    .skip((long) number * fleet().replicaZones().size())
                    .limit(fleet().replicaZones().size())
                    .mapToLong(leaf -> 2 * fleet().networkDelayNanos(host.zone().name(), leaf.zone())
                            + leaf.idealDurationNanos(workNanos))
                    .min()
                    .orElse(0);
            lastNanos = Math.max(lastNanos, bestNanos);
        }
        return lastNanos;
    }

    /** Records the outcome of a query for its caller, and retries refused queries. */
    private final class CallerSink implements ModelQuery.ResultSink {
        private final Arrival arrival;
        private final ModelHost next;

        CallerSink(Arrival arrival, ModelHost next) {
            this.arrival = arrival;
            this.next = next;
        }

        @Override
        public void deliver(MergedAnswer answer) {
            checks.recordEnd(arrival);
            double coverage = 1 - (double) answer.missing() / fleet().shards();
            long atNanos = time.nowNanos() + fleet().toCaller().toNanos();
            counts.recordAnswer(
                    arrival.load(), sinceStartNanos(arrival.firstNanos()), sinceStartNanos(atNanos), coverage);
        }

        @Override
        public void deliverPartial(MergedAnswer partial) {
            throw new IllegalStateException("a caller's query delivered a partial result");
        }

        @Override
        public void reportHedgedShards(List<Integer> hedgedShards) {
            // Callers do not use the progress of a query.
        }

        @Override
        public void requestAttempts(List<Integer> requested) {
            throw new IllegalStateException("a caller's query requested attempts");
        }

        @Override
        public void refuse(RefusalReason reason) {
            checks.recordEnd(arrival);
            long retryAtNanos = time.nowNanos() + 2 * fleet().toCaller().toNanos() + RETRY_DELAY_NANOS;
            if (arrival.attempt() < arrival.load().maxRetries() && retryAtNanos < arrival.deadlineNanos()) {
                Arrival retry = new Arrival(
                        ++lastNumber,
                        arrival.load(),
                        arrival.firstNanos(),
                        arrival.deadlineNanos(),
                        arrival.attempt() + 1);
                time.at(retryAtNanos, () -> send(retry, next, next));
            } else if (reason.isNotRun()) {
                counts.recordRefusal(arrival.load());
            } else {
                counts.recordFailure(arrival.load());
            }
        }
    }
}
