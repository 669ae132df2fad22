package org.bramblerack.cli.experiment;

import static com.google.common.truth.Truth.assertThat;

import org.bramblerack.process.leaf.RoutingPolicy;
import org.junit.jupiter.api.Test;

final class PausingLeafsTest {
    @Test
    void leafsThatPauseAreUsedAlmostAsWellAsByAnOracle() throws Exception {
        Experiment experiment = UnevenLeafs.thatPause();
        assertThat(p95(experiment, 0)).isAtMost(UnevenLeafs.MAX_ORACLE_RATIO);
        assertThat(p95(experiment, 1)).isAtMost(UnevenLeafs.MAX_ORACLE_RATIO);
    }

    @Test
    void leafsOfAllPatternsAreUsedAlmostAsWellAsByAnOracle() throws Exception {
        Experiment experiment = UnevenLeafs.ofAllPatterns();
        assertThat(p95(experiment, 0)).isAtMost(UnevenLeafs.MAX_ORACLE_RATIO);
        assertThat(p95(experiment, 1)).isAtMost(UnevenLeafs.MAX_ORACLE_RATIO);
    }

    private static double p95(Experiment experiment, int load) {
        return UnevenLeafs.p95AgainstOracle(experiment, RoutingPolicy.DEFAULT, load);
    }
}
