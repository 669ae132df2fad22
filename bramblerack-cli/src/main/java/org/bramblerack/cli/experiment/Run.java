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
 * <p>The same seed gives the same arrivals, troubles and pauses under every policy, and the same run again. Used by one
 * thread.
 */
final class Run {
    /** When the first query comes, so that leafs are in all phases of their pauses. */
    private static final Duration REST = Duration.ofSeconds(15);
    /** How long a caller rests if it is told nothing, as callers do. */
    private static final long RETRY_NANOS = Duration.ofMillis(100).toNanos();

    private final Experiment experiment;
    private final SimulatedTime time = new SimulatedTime();
    private final RandomGenerator workRandom;
    /** Of its own, so that runs are the same whether or not the oracle is asked. */
    private final RandomGenerator oracleRandom;

    private final Tally tally;
    private final Checks checks;
    private final List<ModelLeaf> leafs = new ArrayList<>();
    private final List<ModelHost> hosts = new ArrayList<>();
    private long lastNumber;
    private long lastSignature;

    private Run(Experiment experiment, RoutingPolicy policy, int seed) {
        this.experiment = experiment;
        this.tally = new Tally((int) experiment.length().toSeconds());
        this.checks = new Checks(experiment.fleet());
        this.oracleRandom = new SplittableRandom(~seed);
        SplittableRandom seeds = new SplittableRandom(seed);
        RandomGenerator placing = seeds.split();
        this.workRandom = seeds.split();
        List<List<ModelLeaf>> shards = createLeafs(seeds.split());
        RandomGenerator troubling = seeds.split();
        RandomGenerator arriving = seeds.split();
        for (Fleet.Zone zone : experiment.fleet().zones()) {
            for (int number = 0; number < zone.hosts(); number++) {
                String name = zone.name() + "-" + number;
                hosts.add(new ModelHost(
                        name, hosts.size(), zone, experiment.fleet(), shards, policy, time, seeds.split()));
            }
        }
        ModelHost.introduce(hosts);
        experiment.troubles().forEach(trouble -> schedule(trouble, troubling));
        experiment.loads().forEach(load -> scheduleArrivals(load, arriving, placing));
    }

    /** What came of a run. */
    record Result(Tally tally, ImmutableList<String> violations) {}

    /** Runs one policy with one seed. */
    static Result of(Experiment experiment, RoutingPolicy policy, int seed) {
        Run run = new Run(experiment, policy, seed);
        Duration longest = experiment.loads().stream()
                .map(Load::deadline)
                .max(Duration::compareTo)
                .orElse(Duration.ZERO);
        run.time.runUntil(REST.plus(experiment.length()).plus(longest).toNanos());
        run.hosts.forEach(host -> run.tally.connectionsMade(host.connectionsMade()));
        return new Result(run.tally, ImmutableList.copyOf(run.checks.finish(run.leafs)));
    }

    SimulatedTime time() {
        return time;
    }

    Fleet fleet() {
        return experiment.fleet();
    }

    Tally tally() {
        return tally;
    }

    Checks checks() {
        return checks;
    }

    String newSignature() {
        return Long.toString(++lastSignature);
    }

    /** Draws what one call of a kind takes at a leaf. */
    long work(Load load) {
        return work(load, workRandom);
    }

    private static long work(Load load, RandomGenerator random) {
        double factor = Math.exp(load.spread() * random.nextGaussian() - load.spread() * load.spread() / 2);
        boolean tail = random.nextDouble() < load.tailShare();
        return (long) (load.work().toNanos() * factor * (tail ? load.tailFactor() : 1));
    }

    private List<List<ModelLeaf>> createLeafs(SplittableRandom random) {
        List<List<ModelLeaf>> shards = new ArrayList<>();
        for (int shard = 0; shard < fleet().shards(); shard++) {
            List<ModelLeaf> replicas = new ArrayList<>();
            for (String zone : fleet().replicaZones()) {
                String id = "shard-" + shard + "-" + replicas.size();
                double speed = fleet().unevenness().speedOf(shard, replicas.size());
                replicas.add(new ModelLeaf(id, shard, zone, speed, fleet(), time, random.split()));
            }
            leafs.addAll(replicas);
            shards.add(replicas);
        }
        return shards;
    }

    private void schedule(Trouble trouble, RandomGenerator random) {
        List<ModelLeaf> drawn = draw((int) Math.round(trouble.share() * leafs.size()), random);
        long beginNanos = REST.plus(trouble.at()).toNanos();
        long endNanos = beginNanos + trouble.lasts().toNanos();
        if (trouble.kind() != Trouble.Kind.FLAPPING) {
            time.at(beginNanos, () -> drawn.forEach(leaf -> leaf.begin(trouble)));
            time.at(endNanos, () -> drawn.forEach(leaf -> leaf.end(trouble)));
            return;
        }
        long halfNanos = (long) (trouble.strength() * 1e9);
        for (long at = beginNanos; at < endNanos; at += 2 * halfNanos) {
            time.at(at, () -> drawn.forEach(leaf -> leaf.begin(trouble)));
            time.at(Math.min(endNanos, at + halfNanos), () -> drawn.forEach(leaf -> leaf.end(trouble)));
        }
    }

    /** Draws leafs, but never every replica of a shard. */
    private List<ModelLeaf> draw(int count, RandomGenerator random) {
        List<ModelLeaf> left = new ArrayList<>(leafs);
        List<ModelLeaf> drawn = new ArrayList<>();
        while (drawn.size() < count && !left.isEmpty()) {
            ModelLeaf leaf = left.remove(random.nextInt(left.size()));
            long ofShard = drawn.stream()
                    .filter(other -> other.shard() == leaf.shard())
                    .count();
            if (ofShard + 1 < fleet().replicaZones().size()) {
                drawn.add(leaf);
            }
        }
        return drawn;
    }

    private void scheduleArrivals(Load load, RandomGenerator arriving, RandomGenerator placing) {
        double seconds = 0;
        while (true) {
            seconds += -Math.log(1 - arriving.nextDouble()) / load.perSecond();
            if (seconds >= experiment.length().toNanos() / 1e9) {
                return;
            }
            long atNanos = REST.toNanos() + (long) (seconds * 1e9);
            ModelHost host = hosts.get(placing.nextInt(hosts.size()));
            ModelHost other = hosts.get(placing.nextInt(hosts.size()));
            long deadlineNanos = atNanos + load.deadline().toNanos();
            Arrival arrival = new Arrival(++lastNumber, load, atNanos, deadlineNanos, 0);
            time.at(atNanos, () -> {
                tally.asked(load, sinceStart(atNanos));
                send(arrival, host, other);
            });
        }
    }

    private long sinceStart(long atNanos) {
        return atNanos - REST.toNanos();
    }

    private void send(Arrival arrival, ModelHost host, ModelHost next) {
        long wayNanos = fleet().toCaller().toNanos();
        time.after(wayNanos, () -> {
            if (arrival.attempt() == 0) {
                tally.oracle(arrival.load(), 2 * wayNanos + oracleNanos(arrival.load(), host));
            }
            ModelQuery.ofCaller(this, host, arrival, new CallerSink(arrival, next))
                    .start();
        });
    }

    /**
     * Returns when the last shard of a query would be in if each were asked once, at the best of its leafs by their
     * true state.
     */
    private long oracleNanos(Load load, ModelHost host) {
        long lastNanos = 0;
        for (int shard = 0; shard < fleet().shards(); shard++) {
            long workNanos = work(load, oracleRandom);
            int number = shard;
            long bestNanos = leafs.stream()
                    .skip((long) number * fleet().replicaZones().size())
                    .limit(fleet().replicaZones().size())
                    .mapToLong(
                            leaf -> 2 * fleet().wayNanos(host.zone().name(), leaf.zone()) + leaf.knownNanos(workNanos))
                    .min()
                    .orElse(0);
            lastNanos = Math.max(lastNanos, bestNanos);
        }
        return lastNanos;
    }

    /** Takes the end of a query as its caller sees it. */
    private final class CallerSink implements ModelQuery.Sink {
        private final Arrival arrival;
        private final ModelHost next;

        CallerSink(Arrival arrival, ModelHost next) {
            this.arrival = arrival;
            this.next = next;
        }

        @Override
        public void deliver(MergedAnswer answer) {
            checks.ended(arrival);
            double coverage = 1 - (double) answer.missing() / fleet().shards();
            long atNanos = time.nowNanos() + fleet().toCaller().toNanos();
            tally.answered(arrival.load(), sinceStart(arrival.firstNanos()), sinceStart(atNanos), coverage);
        }

        @Override
        public void piece(MergedAnswer piece) {
            throw new IllegalStateException("a piece for a caller");
        }

        @Override
        public void progress(List<Integer> askedTwice) {
            // A caller is not told.
        }

        @Override
        public void refuse(RefusalReason reason) {
            checks.ended(arrival);
            long again = time.nowNanos() + 2 * fleet().toCaller().toNanos() + RETRY_NANOS;
            if (arrival.attempt() < arrival.load().retries() && again < arrival.deadlineNanos()) {
                Arrival retry = new Arrival(
                        ++lastNumber,
                        arrival.load(),
                        arrival.firstNanos(),
                        arrival.deadlineNanos(),
                        arrival.attempt() + 1);
                time.at(again, () -> send(retry, next, next));
            } else if (reason.isNotRun()) {
                tally.refused(arrival.load());
            } else {
                tally.failed(arrival.load());
            }
        }
    }
}
