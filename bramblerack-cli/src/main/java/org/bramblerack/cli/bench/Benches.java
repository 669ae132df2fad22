package org.bramblerack.cli.bench;

import com.google.common.collect.ImmutableList;

/** All benchmarks. */
public final class Benches {
    private static final ImmutableList<Bench> ALL = ImmutableList.of(new StragglersBench(), new OverloadBench());

    private Benches() {}

    /** Returns all benchmarks. */
    public static ImmutableList<Bench> all() {
        return ALL;
    }
}
