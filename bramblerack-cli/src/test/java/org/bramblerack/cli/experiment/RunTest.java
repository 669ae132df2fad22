package org.bramblerack.cli.experiment;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.bramblerack.process.leaf.RoutingFeature;
import org.bramblerack.process.leaf.RoutingPolicy;
import org.bramblerack.request.routed.AttemptCounter;
import org.junit.jupiter.api.Test;

final class RunTest {
    private static final Trouble REFUSING =
            new Trouble(Trouble.Kind.REFUSING, Duration.ofSeconds(1), Duration.ofSeconds(6), 0.5, 0.6);

    @Test
    void aCalmFleetAnswersNearlyEverythingInItsGoalAndKeepsItsPromises() {
        Run.Result result = Run.of(SmallExperiment.with(), RoutingPolicy.DEFAULT, 1);
        Tally.Kind kind = result.tally().kind(SmallExperiment.LOAD);
        assertThat(kind.asked()).isGreaterThan(200);
        assertThat((double) kind.inGoal() / kind.asked()).isGreaterThan(0.98);
        assertThat(result.violations()).isEmpty();
    }

    @Test
    void everyRequestEndsOnceAndIsCountedOnce() {
        Tally.Kind kind = Run.of(SmallExperiment.with(REFUSING), RoutingPolicy.DEFAULT, 2)
                .tally()
                .kind(SmallExperiment.LOAD);
        assertThat(kind.inGoal() + kind.late() + kind.refused() + kind.failed()).isEqualTo(kind.asked());
    }

    @Test
    void theSameSeedGivesTheSameRun() {
        Experiment experiment = SmallExperiment.with(REFUSING);
        assertThat(digest(Run.of(experiment, RoutingPolicy.DEFAULT, 3)))
                .isEqualTo(digest(Run.of(experiment, RoutingPolicy.DEFAULT, 3)));
        assertThat(digest(Run.of(experiment, RoutingPolicy.DEFAULT, 4)))
                .isNotEqualTo(digest(Run.of(experiment, RoutingPolicy.DEFAULT, 3)));
    }

    @Test
    void leafsThatRefuseCostLessIfTheirRefusalsHaveAPrice() {
        Experiment experiment = SmallExperiment.with(REFUSING);
        long priced = 0;
        long unpriced = 0;
        for (int seed = 0; seed < 4; seed++) {
            priced += Run.of(experiment, RoutingPolicy.DEFAULT, seed).tally().leafRefusals();
            unpriced += Run.of(experiment, RoutingPolicy.without(RoutingFeature.REFUSAL_PRICE), seed)
                    .tally()
                    .leafRefusals();
        }
        assertThat(priced).isLessThan(unpriced);
    }

    @Test
    void aMechanismThatIsOffTakesNoPart() {
        Trouble slow = new Trouble(Trouble.Kind.SLOW, Duration.ofSeconds(1), Duration.ofSeconds(6), 0.4, 8);
        Experiment experiment = SmallExperiment.with(slow);
        Tally with = Run.of(experiment, RoutingPolicy.DEFAULT, 6).tally();
        Tally without = Run.of(experiment, RoutingPolicy.without(RoutingFeature.HEDGES, RoutingFeature.STAGES), 6)
                .tally();
        assertThat(with.counter(AttemptCounter.HEDGE)).isGreaterThan(0L);
        assertThat(with.counter(AttemptCounter.STAGE)).isGreaterThan(0L);
        assertThat(without.counter(AttemptCounter.HEDGE)).isEqualTo(0);
        assertThat(without.counter(AttemptCounter.STAGE)).isEqualTo(0);
    }

    @Test
    void darkAndFlappingLeafsBreakNoPromise() {
        Trouble dark = new Trouble(Trouble.Kind.DARK, Duration.ofSeconds(1), Duration.ofSeconds(3), 0.3, 1);
        Trouble flapping = new Trouble(Trouble.Kind.FLAPPING, Duration.ofSeconds(4), Duration.ofSeconds(3), 0.3, 0.4);
        Trouble slow = new Trouble(Trouble.Kind.SLOW, Duration.ofSeconds(2), Duration.ofSeconds(4), 0.3, 8);
        Run.Result result = Run.of(SmallExperiment.with(dark, flapping, slow), RoutingPolicy.DEFAULT, 5);
        assertThat(result.violations()).isEmpty();
        assertThat(result.tally().kind(SmallExperiment.LOAD).credit()).isGreaterThan(0.3);
    }

    private static String digest(Run.Result result) {
        Tally.Kind kind = result.tally().kind(SmallExperiment.LOAD);
        return kind.asked() + " " + kind.credit() + " " + kind.latencyMicros().getMean() + " "
                + result.tally().leafRefusals() + " " + result.tally().connectionsMade();
    }
}
