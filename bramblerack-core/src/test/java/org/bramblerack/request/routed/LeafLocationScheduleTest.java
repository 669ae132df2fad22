package org.bramblerack.request.routed;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.bramblerack.process.leaf.Distance;
import org.bramblerack.process.leaf.Leaf;
import org.bramblerack.process.leaf.LeafLocation;
import org.bramblerack.process.leaf.LeafOutcome;
import org.bramblerack.process.leaf.LeafPool;
import org.bramblerack.process.leaf.PermittedLeaves;
import org.bramblerack.process.leaf.RoutingContext;
import org.bramblerack.version.routing.HomeRegions;
import org.bramblerack.version.routing.RouteTarget;
import org.junit.jupiter.api.Test;

/**
 * Seeded schedules of failures, late leafs, hosts that pass shards back, and zones that are drained and taken back
 * while queries and single requests are under way: no attempt leaves the homes of its request or goes to a drained
 * zone.
 */
final class LeafLocationScheduleTest {
    private static final int SCHEDULES = 10_000;
    private static final int SHARDS = 4;
    private static final int STEPS = 30;
    private static final ImmutableList<Distance> DISTANCES = ImmutableList.copyOf(Distance.values());
    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final ImmutableList<String> ZONES = ImmutableList.of("north-1", "north-2", "south-1", "east-1");

    @Test
    void noAttemptLeavesTheHomesOrGoesToADrainedZone() {
        int asked = 0;
        for (int seed = 0; seed < SCHEDULES; seed++) {
            asked += new Schedule(seed, true).play();
        }
        assertThat(asked).isGreaterThan(SCHEDULES);
    }

    /** The check sees a decision that forgets the homes. */
    @Test
    void aRequestThatForgetsItsHomesIsFound() {
        int found = 0;
        for (int seed = 0; seed < SCHEDULES / 100; seed++) {
            try {
                new Schedule(seed, false).play();
            } catch (AssertionError seen) {
                found++;
            }
        }
        assertThat(found).isGreaterThan(10);
    }

    private static String regionOf(String zone) {
        return zone.substring(0, zone.indexOf('-'));
    }

    /** One request or query with all that happens to it. */
    private static final class Schedule {
        private final int seed;
        private final SplittableRandom random;
        private final boolean keepsHomes;
        private final HomeRegions homes;
        private final List<LeafPool> pools = new ArrayList<>();
        private final List<Attempt> open = new ArrayList<>();
        private final boolean[] drained = new boolean[ZONES.size()];
        private long nowNanos;
        private int asked;

        Schedule(int seed, boolean keepsHomes) {
            this.seed = seed;
            this.keepsHomes = keepsHomes;
            this.random = new SplittableRandom(seed);
            this.homes = random.nextInt(4) == 0
                    ? HomeRegions.ANY
                    : HomeRegions.of(ImmutableList.of(regionOf(ZONES.get(random.nextInt(ZONES.size())))));
            for (int shard = 0; shard < SHARDS; shard++) {
                pools.add(pool("s" + shard));
            }
        }

        private LeafPool pool(String service) {
            LeafPool pool = new LeafPool(service, RoutedWorld.shareOf(100, 50));
            int leafs = 1 + random.nextInt(5);
            for (int number = 0; number < leafs; number++) {
                String zone = ZONES.get(random.nextInt(ZONES.size()));
                LeafLocation place =
                        new LeafLocation(zone, regionOf(zone), DISTANCES.get(random.nextInt(DISTANCES.size())));
                pool.add(new Leaf(
                        service + "-" + number,
                        service,
                        "10.0.0.1:1",
                        place,
                        2,
                        Duration.ZERO,
                        RoutingContext.plain(),
                        0));
            }
            return pool;
        }

        private ImmutableList<PermittedLeaves> permitted() {
            HomeRegions used = keepsHomes ? homes : HomeRegions.ANY;
            return pools.stream().map(pool -> pool.permitted(used)).collect(ImmutableList.toImmutableList());
        }

        int play() {
            if (random.nextInt(3) == 0) {
                playSingle();
            } else {
                playQuery();
            }
            return asked;
        }

        private void playSingle() {
            ForwardedRequest request = new ForwardedRequest(
                    permitted().get(0), random.nextBoolean(), RoutedWorld.bounds(2), random.split());
            carryOut(request.start(nowNanos));
            for (int step = 0; step < STEPS && !request.isOver(); step++) {
                pass();
                if (open.isEmpty() || random.nextInt(3) == 0) {
                    carryOut(request.wake(nowNanos));
                } else {
                    Attempt ended = open.remove(random.nextInt(open.size()));
                    carryOut(
                            random.nextInt(3) == 0
                                    ? request.onAnswer(ended)
                                    : request.onFailure(ended, failure(), random.nextBoolean(), nowNanos));
                }
            }
        }

        private void playQuery() {
            ImmutableList<StageAttempt> stages = random.nextBoolean()
                    ? ImmutableList.of()
                    : ImmutableList.of(new StageAttempt("other", ImmutableList.of(0, 1), 10 * MILLI));
            ScatterQuery query = new ScatterQuery(
                    new RouteTarget.Scatter(ImmutableList.of("s0", "s1", "s2", "s3"), 5, 0.25),
                    permitted(),
                    stages,
                    RoutedWorld.bounds(2),
                    random.nextBoolean() ? ScatterQuery.Delivery.SINGLE : ScatterQuery.Delivery.INCREMENTAL,
                    RoutingContext.plain(),
                    random.split());
            carryOut(query.start(nowNanos));
            for (int step = 0; step < STEPS && !query.isOver(); step++) {
                pass();
                carryOut(happening(query, stages));
            }
        }

        private List<RoutedAction> happening(ScatterQuery query, ImmutableList<StageAttempt> stages) {
            int kind = random.nextInt(4);
            if (kind == 0 && !stages.isEmpty()) {
                return query.onStageFailure(stages.get(0), random.nextBoolean(), nowNanos);
            }
            if (kind == 1 || open.isEmpty()) {
                return query.wake(nowNanos);
            }
            Attempt ended = open.remove(random.nextInt(open.size()));
            return kind == 2
                    ? query.onAnswer(ended, RoutedWorld.part("sig" + asked + "-" + nowNanos, 1), nowNanos)
                    : query.onFailure(ended, failure(), nowNanos);
        }

        private LeafOutcome failure() {
            ImmutableList<LeafOutcome> failures = ImmutableList.of(
                    LeafOutcome.FAILED,
                    LeafOutcome.REFUSED_BUSY,
                    LeafOutcome.REFUSED_GONE,
                    LeafOutcome.UNREACHABLE,
                    LeafOutcome.NO_CONNECTION,
                    LeafOutcome.BROKEN,
                    LeafOutcome.GARBLED);
            return failures.get(random.nextInt(failures.size()));
        }

        /** Time goes on; now and then operators drain a zone or take it back. */
        private void pass() {
            nowNanos += random.nextLong(20 * MILLI);
            if (random.nextInt(5) == 0) {
                int zone = random.nextInt(ZONES.size());
                drained[zone] = !drained[zone];
                pools.forEach(pool -> pool.all().stream()
                        .filter(leaf -> leaf.location().zone().equals(ZONES.get(zone)))
                        .forEach(leaf -> leaf.setZoneDrained(drained[zone])));
            }
        }

        private void carryOut(List<RoutedAction> actions) {
            for (RoutedAction action : actions) {
                if (action instanceof RoutedAction.CallLeaf ask) {
                    asked++;
                    Leaf leaf = ask.attempt().leaf();
                    open.add(ask.attempt());
                    assertWithMessage("seed %s: %s asked at %s", seed, homes, leaf.location())
                            .that(homes.allows(leaf.location().region()))
                            .isTrue();
                    assertWithMessage("seed %s: asked at drained %s", seed, leaf.location())
                            .that(drained[ZONES.indexOf(leaf.location().zone())])
                            .isFalse();
                }
            }
        }
    }
}
