package org.bramblerack.cli.experiment;

import static com.google.common.truth.Truth.assertThat;

import org.bramblerack.process.leaf.RoutingFeature;
import org.bramblerack.process.leaf.RoutingPolicy;
import org.junit.jupiter.api.Test;

final class UnevenLeafsTest {
    private static final int FULL = 0;
    private static final int URGENT = 1;

    @Test
    void leafsOfThreeSpeedsAreUsedAlmostAsWellAsByAnOracle() throws Exception {
        Experiment experiment = UnevenLeafs.ofThreeSpeeds();
        assertThat(p95(experiment, FULL)).isAtMost(UnevenLeafs.MAX_ORACLE_RATIO);
        assertThat(p95(experiment, URGENT)).isAtMost(UnevenLeafs.MAX_ORACLE_RATIO);
    }

    @Test
    void leafsInSpellsAreUsedAlmostAsWellAsByAnOracle() throws Exception {
        Experiment experiment = UnevenLeafs.inSlowPeriods();
        assertThat(p95(experiment, FULL)).isAtMost(UnevenLeafs.MAX_ORACLE_RATIO);
        assertThat(p95(experiment, URGENT)).isAtMost(UnevenLeafs.MAX_ORACLE_RATIO);
    }

    @Test
    void hedgesByLeafBringUrgentQueriesInEarlier() throws Exception {
        Experiment experiment = UnevenLeafs.ofAllPatterns();
        Load urgent = experiment.loads().get(URGENT);
        long by = 0;
        long without = 0;
        for (int seed = 0; seed < 3; seed++) {
            by += median(experiment, RoutingPolicy.DEFAULT, seed, urgent);
            without += median(experiment, RoutingPolicy.without(RoutingFeature.LEAF_HEDGES), seed, urgent);
        }
        assertThat(by).isLessThan(without);
    }

    private static long median(Experiment experiment, RoutingPolicy policy, int seed, Load load) {
        return Run.of(experiment, policy, seed)
                .counts()
                .kind(load)
                .latencyMicros()
                .getValueAtPercentile(50);
    }

    private static double p95(Experiment experiment, int load) {
        return UnevenLeafs.p95AgainstOracle(experiment, RoutingPolicy.DEFAULT, load);
    }
}
