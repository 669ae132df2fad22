package org.bramblerack.process.leaf;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class EventLoopLagTest {
    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final long EXPECTED = 20 * MILLI;

    private final EventLoopLag lag = EventLoopLag.create(Duration.ofMillis(20));

    @Test
    void noLagIfTheTaskRunsOnTime() {
        lag.onTaskRun(0);
        lag.onTaskRun(20 * MILLI);
        assertThat(lag.lagNanos(30 * MILLI)).isEqualTo(0);
    }

    @Test
    void theDelayOfTheTaskCountsUntilItsNextRun() {
        lag.onTaskRun(0);
        lag.onTaskRun(70 * MILLI);
        assertThat(lag.lagNanos(75 * MILLI)).isEqualTo(50 * MILLI);
        lag.onTaskRun(90 * MILLI);
        assertThat(lag.lagNanos(95 * MILLI)).isEqualTo(0);
    }

    @Test
    void anOverdueTaskCountsBeforeItRuns() {
        lag.onTaskRun(0);
        assertThat(lag.lagNanos(100 * MILLI)).isEqualTo(80 * MILLI);
    }

    @Test
    void theAverageRisesWithRepeatedLagButNotWithOnePause() {
        EventLoopLag pausedOnce = EventLoopLag.create(Duration.ofMillis(20));
        long nowNanos = 0;
        for (int run = 0; run < 100; run++) {
            nowNanos += (run % 2 == 0 ? 100 : 20) * MILLI;
            lag.onTaskRun(nowNanos);
            pausedOnce.onTaskRun(run < 50 ? run * 20L * MILLI : run * 20L * MILLI + 60 * MILLI);
        }
        assertThat(lag.averageLagNanos()).isGreaterThan(40 * MILLI);
        assertThat(pausedOnce.averageLagNanos()).isLessThan(10 * MILLI);
    }

    @Test
    void aLaggingHostDoesNotConsiderItsLeafStalled() {
        RoutingContext context = new RoutingContext(RoutingPolicy.DEFAULT, lag);
        Leaf leaf = new Leaf(
                "l", "s", "10.0.0.1:1", LeafLocation.unnamed(Distance.SAME_ZONE), 2, Duration.ZERO, context, 0);
        lag.onTaskRun(0);
        Leaf.Call call = leaf.begin(EXPECTED, 0);
        assertThat(leaf.isStalled(100 * MILLI)).isFalse();
        leaf.end(call, LeafOutcome.SUCCEEDED, Optional.empty(), 100 * MILLI);
        assertThat(leaf.costNanos(EXPECTED, 100 * MILLI)).isLessThan(1.2 * EXPECTED);
        lag.onTaskRun(100 * MILLI);
        lag.onTaskRun(120 * MILLI);
        assertThat(leaf.isUnderWay(leaf.begin(EXPECTED, 120 * MILLI))).isTrue();
        lag.onTaskRun(200 * MILLI);
        lag.onTaskRun(220 * MILLI);
        assertThat(leaf.isStalled(221 * MILLI)).isTrue();
    }

    @Test
    void theLagIsIgnoredIfTheFeatureIsOff() {
        RoutingContext context = new RoutingContext(RoutingPolicy.without(RoutingFeature.HOST_LAG), lag);
        lag.onTaskRun(0);
        assertThat(context.lagNanos(100 * MILLI)).isEqualTo(0);
    }
}
