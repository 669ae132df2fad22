package org.bramblerack.cli.bench;

import com.google.common.collect.ImmutableList;

/** The benchmarks that the {@code bench} subcommand offers. */
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

    public static ImmutableList<Bench> all() {
        return ALL;
    }
}
