package org.bramblerack.cli.bench;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against work proportional to the number of shards on each leaf reply, by the bytes allocated for a leaf call,
 * which don't depend on the machine's speed.
 */
final class PathCostTest {
    private static final int SHARDS = 225;
    private static final int QUERIES = 40;

    @Test
    void aCallAllocatesNoMoreForThereBeingManyOthers() throws Exception {
        PathCost.measure(SHARDS, 10);
        PathCost cost = PathCost.measure(SHARDS, QUERIES);
        assertThat(cost.calls()).isAtLeast(SHARDS * QUERIES / 2);
        assertThat(cost.allocatedBytes()).isLessThan((double) PathBench.MAX_BYTES_PER_CALL);
    }
}
