package org.bramblerack.cli.bench;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/**
 * What the path of a query allocates for each of its 225 shards, the count of which does not depend on the machine's
 * speed: a look at every shard with each answer, which was made once, allocated 11,790 bytes a call.
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
