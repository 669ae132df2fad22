package org.bramblerack.cli.experiment;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Range;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.bramblerack.process.leaf.LeafLoad;
import org.junit.jupiter.api.Test;

final class ModelLeafTest {
    private static final long WORK_NANOS = Duration.ofMillis(10).toNanos();

    private final SimulatedTime time = new SimulatedTime();
    private final ModelLeaf leaf =
            new ModelLeaf("leaf", 0, "west", 1, SmallExperiment.FLEET, time, new SplittableRandom(4));
    private final List<Long> doneNanos = new ArrayList<>();
    private int refused;

    @Test
    void asManyCallsRunAsThereAreSlots() {
        for (int call = 0; call < 3; call++) {
            call();
        }
        time.runUntil(5 * WORK_NANOS);
        assertThat(doneNanos)
                .containsExactly(WORK_NANOS, WORK_NANOS, 2 * WORK_NANOS)
                .inOrder();
    }

    @Test
    void callsBeyondTheQueueAreRefusedAtOnce() {
        int capacity = SmallExperiment.FLEET.slots() + SmallExperiment.FLEET.queue();
        for (int call = 0; call < capacity + 2; call++) {
            call();
        }
        assertThat(refused).isEqualTo(2);
    }

    @Test
    void aDroppedCallMakesRoom() {
        ModelLeaf.Job first = call();
        call();
        call();
        leaf.cancel(first);
        time.runUntil(5 * WORK_NANOS);
        assertThat(doneNanos).containsExactly(WORK_NANOS, WORK_NANOS);
    }

    @Test
    void aSlowLeafTakesLongerAndADarkOneNeverAnswers() {
        InjectedFault slow = new InjectedFault(InjectedFault.Kind.SLOW, Duration.ZERO, Duration.ZERO, 1, 3);
        leaf.beginFault(slow);
        call();
        time.runUntil(4 * WORK_NANOS);
        assertThat(doneNanos).containsExactly(3 * WORK_NANOS);
        leaf.endFault(slow);
        leaf.beginFault(new InjectedFault(InjectedFault.Kind.DARK, Duration.ZERO, Duration.ZERO, 1, 1));
        call();
        time.runUntil(100 * WORK_NANOS);
        assertThat(doneNanos).hasSize(1);
    }

    @Test
    void callsThatRunWhenALeafPausesGoOnAfterIt() {
        long pauseNanos = SmallExperiment.FLEET.pause().toNanos();
        long everyNanos = SmallExperiment.FLEET.pauseEvery().toNanos();
        long longest = 0;
        for (long at = 0; at < 2 * everyNanos; at += 2 * WORK_NANOS) {
            time.runUntil(at);
            int before = doneNanos.size();
            long sent = time.nowNanos();
            call();
            time.runUntil(sent + 2 * pauseNanos);
            assertThat(doneNanos).hasSize(before + 1);
            longest = Math.max(longest, doneNanos.get(before) - sent);
            at = time.nowNanos();
        }
        assertThat(longest).isAtMost(pauseNanos + WORK_NANOS);
    }

    @Test
    void spellsTakeTheirShareOfTheTimeAndEndAndTheSpeedStays() {
        SpeedSkew speedSkew = new SpeedSkew(ImmutableList.of(0.8, 1.3), 0.15, 2.5, Duration.ofMillis(600), true);
        ModelLeaf uneven = new ModelLeaf(
                "uneven",
                1,
                "west",
                speedSkew.workFactorOf(1, 0),
                SmallExperiment.with(speedSkew),
                time,
                new SplittableRandom(4));
        List<Integer> reported = new ArrayList<>();
        for (int period = 0; period < 1_000; period++) {
            time.runUntil(period * Duration.ofMillis(600).toNanos());
            reported.add(uneven.load().workPercent());
        }
        assertThat(ImmutableSet.copyOf(reported)).containsExactly(130, 325);
        assertThat(reported.stream().filter(percent -> percent == 325).count()).isIn(Range.closed(110L, 190L));
    }

    private ModelLeaf.Job call() {
        return leaf.call(WORK_NANOS, new ModelLeaf.JobListener() {
            @Override
            public void onDone(LeafLoad load) {
                doneNanos.add(time.nowNanos());
            }

            @Override
            public void onRefused(LeafLoad load) {
                refused++;
            }
        });
    }
}
