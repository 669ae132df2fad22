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
 * Seeded schedules of failures, late leaves, failed stages, and zones that are drained and restored while queries and
 * single requests are running: no attempt leaves the home regions of its request or goes to a drained zone.
 */
final class LeafLocationScheduleTest {
    private static final int SCHEDULES = 10_000;
    private static final int SHARDS = 4;
    private static final int STEPS = 30;
    private static final ImmutableList<Distance> DISTANCES = ImmutableList.copyOf(Distance.values());
    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final ImmutableList<String> ZONES = ImmutableList.of("north-1", "north-2", "south-1", "east-1");

    @Test
    void attemptsStayInHomeRegionsAndAvoidDrainedZones() {
        int attempts = 0;
        for (int seed = 0; seed < SCHEDULES; seed++) {
            attempts += new Schedule(seed, true).run();
        }
        assertThat(attempts).isGreaterThan(SCHEDULES);
    }

    /** Guards against a check that detects nothing: requests without their restriction are reported. */
    @Test
    void detectsAttemptsOutsideTheHomeRegions() {
        int detected = 0;
        for (int seed = 0; seed < SCHEDULES / 100; seed++) {
            try {
                new Schedule(seed, false).run();
            } catch (AssertionError expected) {
                detected++;
            }
        }
        assertThat(detected).isGreaterThan(10);
    }

    private static String regionOf(String zone) {
        return zone.substring(0, zone.indexOf('-'));
    }

    /** One request or query with random events. */
    private static final class Schedule {
        private final int seed;
        private final SplittableRandom random;
        private final boolean restrictsRegions;
        private final HomeRegions homes;
        private final List<LeafPool> pools = new ArrayList<>();
        private final List<Attempt> openAttempts = new ArrayList<>();
        private final boolean[] drained = new boolean[ZONES.size()];
        private long nowNanos;
        private int attemptCount;

        Schedule(int seed, boolean restrictsRegions) {
            this.seed = seed;
            this.restrictsRegions = restrictsRegions;
            this.random = new SplittableRandom(seed);
            this.homes = random.nextInt(4) == 0
                    ? HomeRegions.ANY
                    : HomeRegions.of(ImmutableList.of(regionOf(ZONES.get(random.nextInt(ZONES.size())))));
            for (int shard = 0; shard < SHARDS; shard++) {
                pools.add(pool("s" + shard));
            }
        }

        private LeafPool pool(String service) {
            LeafPool pool = new LeafPool(service, RoutedRequestHarness.budget(100, 50));
            int leafCount = 1 + random.nextInt(5);
            for (int number = 0; number < leafCount; number++) {
                String zone = ZONES.get(random.nextInt(ZONES.size()));
                LeafLocation location =
                        new LeafLocation(zone, regionOf(zone), DISTANCES.get(random.nextInt(DISTANCES.size())));
                pool.add(new Leaf(
                        service + "-" + number,
                        service,
                        "10.0.0.1:1",
                        location,
                        2,
                        Duration.ZERO,
                        RoutingContext.plain(),
                        0));
            }
            return pool;
        }

        private ImmutableList<PermittedLeaves> permitted() {
            HomeRegions allowed = restrictsRegions ? homes : HomeRegions.ANY;
            return pools.stream().map(pool -> pool.permitted(allowed)).collect(ImmutableList.toImmutableList());
        }

        int run() {
            if (random.nextInt(3) == 0) {
                runSingle();
            } else {
                runQuery();
            }
            return attemptCount;
        }

        private void runSingle() {
            ForwardedRequest request = new ForwardedRequest(
                    permitted().get(0), random.nextBoolean(), RoutedRequestHarness.bounds(2), random.split());
            execute(request.start(nowNanos));
            for (int step = 0; step < STEPS && !request.isOver(); step++) {
                advanceTime();
                if (openAttempts.isEmpty() || random.nextInt(3) == 0) {
                    execute(request.wake(nowNanos));
                } else {
                    Attempt ended = openAttempts.remove(random.nextInt(openAttempts.size()));
                    execute(
                            random.nextInt(3) == 0
                                    ? request.onAnswer(ended)
                                    : request.onFailure(ended, failure(), random.nextBoolean(), nowNanos));
                }
            }
        }

        private void runQuery() {
            ImmutableList<StageAttempt> stages = random.nextBoolean()
                    ? ImmutableList.of()
                    : ImmutableList.of(new StageAttempt("other", ImmutableList.of(0, 1), 10 * MILLI));
            ScatterQuery query = new ScatterQuery(
                    new RouteTarget.Scatter(ImmutableList.of("s0", "s1", "s2", "s3"), 5, 0.25),
                    permitted(),
                    stages,
                    RoutedRequestHarness.bounds(2),
                    random.nextBoolean() ? ScatterQuery.Delivery.SINGLE : ScatterQuery.Delivery.INCREMENTAL,
                    RoutingContext.plain(),
                    random.split());
            execute(query.start(nowNanos));
            for (int step = 0; step < STEPS && !query.isOver(); step++) {
                advanceTime();
                execute(nextEvent(query, stages));
            }
        }

        private List<RoutedAction> nextEvent(ScatterQuery query, ImmutableList<StageAttempt> stages) {
            int kind = random.nextInt(4);
            if (kind == 0 && !stages.isEmpty()) {
                return query.onStageFailure(stages.get(0), random.nextBoolean(), nowNanos);
            }
            if (kind == 1 || openAttempts.isEmpty()) {
                return query.wake(nowNanos);
            }
            Attempt ended = openAttempts.remove(random.nextInt(openAttempts.size()));
            return kind == 2
                    ? query.onAnswer(
                            ended, RoutedRequestHarness.part("sig" + attemptCount + "-" + nowNanos, 1), nowNanos)
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

        /** Advances the time; sometimes drains or restores a zone. */
        private void advanceTime() {
            nowNanos += random.nextLong(20 * MILLI);
            if (random.nextInt(5) == 0) {
                int zone = random.nextInt(ZONES.size());
                drained[zone] = !drained[zone];
                pools.forEach(pool -> pool.all().stream()
                        .filter(leaf -> leaf.location().zone().equals(ZONES.get(zone)))
                        .forEach(leaf -> leaf.setZoneDrained(drained[zone])));
            }
        }

        private void execute(List<RoutedAction> actions) {
            for (RoutedAction action : actions) {
                if (action instanceof RoutedAction.CallLeaf call) {
                    attemptCount++;
                    Leaf leaf = call.attempt().leaf();
                    openAttempts.add(call.attempt());
                    assertWithMessage("seed %s: attempt with home regions %s at %s", seed, homes, leaf.location())
                            .that(homes.allows(leaf.location().region()))
                            .isTrue();
                    assertWithMessage("seed %s: attempt in drained zone at %s", seed, leaf.location())
                            .that(drained[ZONES.indexOf(leaf.location().zone())])
                            .isFalse();
                }
            }
        }
    }
}
