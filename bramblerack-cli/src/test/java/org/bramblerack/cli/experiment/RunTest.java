package org.bramblerack.cli.experiment;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.bramblerack.process.leaf.RoutingFeature;
import org.bramblerack.process.leaf.RoutingPolicy;
import org.bramblerack.request.routed.AttemptCounter;
import org.junit.jupiter.api.Test;

final class RunTest {
    private static final InjectedFault REFUSING =
            new InjectedFault(InjectedFault.Kind.REFUSING, Duration.ofSeconds(1), Duration.ofSeconds(6), 0.5, 0.6);

    @Test
    void aCalmFleetAnswersNearlyEverythingInItsGoalAndKeepsItsPromises() {
        Run.Result result = Run.of(SmallExperiment.with(), RoutingPolicy.DEFAULT, 1);
        OutcomeCounts.KindCounts kind = result.counts().kind(SmallExperiment.LOAD);
        assertThat(kind.queries()).isGreaterThan(200);
        assertThat((double) kind.inGoal() / kind.queries()).isGreaterThan(0.98);
        assertThat(result.violations()).isEmpty();
    }

    @Test
    void everyRequestEndsOnceAndIsCountedOnce() {
        OutcomeCounts.KindCounts kind = Run.of(SmallExperiment.with(REFUSING), RoutingPolicy.DEFAULT, 2)
                .counts()
                .kind(SmallExperiment.LOAD);
        assertThat(kind.inGoal() + kind.late() + kind.refused() + kind.failed()).isEqualTo(kind.queries());
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
            priced += Run.of(experiment, RoutingPolicy.DEFAULT, seed).counts().leafRefusals();
            unpriced += Run.of(experiment, RoutingPolicy.without(RoutingFeature.REFUSAL_PRICE), seed)
                    .counts()
                    .leafRefusals();
        }
        assertThat(priced).isLessThan(unpriced);
    }

    @Test
    void aMechanismThatIsOffTakesNoPart() {
        InjectedFault slow =
                new InjectedFault(InjectedFault.Kind.SLOW, Duration.ofSeconds(1), Duration.ofSeconds(6), 0.4, 8);
        Experiment experiment = SmallExperiment.with(slow);
        OutcomeCounts with = Run.of(experiment, RoutingPolicy.DEFAULT, 6).counts();
        OutcomeCounts without = Run.of(
                        experiment, RoutingPolicy.without(RoutingFeature.HEDGES, RoutingFeature.STAGES), 6)
                .counts();
        assertThat(with.counter(AttemptCounter.HEDGE)).isGreaterThan(0L);
        assertThat(with.counter(AttemptCounter.STAGE)).isGreaterThan(0L);
        assertThat(without.counter(AttemptCounter.HEDGE)).isEqualTo(0);
        assertThat(without.counter(AttemptCounter.STAGE)).isEqualTo(0);
    }

    @Test
    void darkAndFlappingLeafsBreakNoPromise() {
        InjectedFault unreachable =
                new InjectedFault(InjectedFault.Kind.DARK, Duration.ofSeconds(1), Duration.ofSeconds(3), 0.3, 1);
        InjectedFault flapping =
                new InjectedFault(InjectedFault.Kind.FLAPPING, Duration.ofSeconds(4), Duration.ofSeconds(3), 0.3, 0.4);
        InjectedFault slow =
                new InjectedFault(InjectedFault.Kind.SLOW, Duration.ofSeconds(2), Duration.ofSeconds(4), 0.3, 8);
        Run.Result result = Run.of(SmallExperiment.with(unreachable, flapping, slow), RoutingPolicy.DEFAULT, 5);
        assertThat(result.violations()).isEmpty();
        assertThat(result.counts().kind(SmallExperiment.LOAD).credit()).isGreaterThan(0.3);
    }

    private static String digest(Run.Result result) {
        OutcomeCounts.KindCounts kind = result.counts().kind(SmallExperiment.LOAD);
        return kind.queries() + " " + kind.credit() + " " + kind.latencyMicros().getMean() + " "
                + result.counts().leafRefusals() + " " + result.counts().connectionsMade();
    }
}
