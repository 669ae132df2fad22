package org.bramblerack.cli.bench;

import com.google.common.collect.ImmutableList;

/** All benchmarks. */
public final class Benches {
    private static final ImmutableList<Bench> ALL = ImmutableList.of(
            new StragglersBench(),
            new OverloadBench(),
            new RecoveryBench(),
            new OverheadBench(),
            new DecisionsBench(),
            new DrainBench(),
            new ChangesBench(),
            new ClaimsBench(),
            new CostBench(),
            new PathBench(),
            new StartBench(),
            new CapacityBench());

    private Benches() {}

    /** Returns all benchmarks. */
    public static ImmutableList<Bench> all() {
        return ALL;
    }
}
