package org.bramblerack.connection;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.function.Function;
import org.bramblerack.process.HostState;

/**
 * Orders the holders of an upstream for a call. All hosts prefer the same holder, so that an upstream has one queue.
 *
 * <p>Stateless and safe for use by many threads.
 */
public final class HolderOrder {
    private HolderOrder() {}

    /**
     * Returns the holders in the order in which to try them. A silent holder comes last but stays in the list, since it
     * may be live after all.
     *
     * @param stateOf the known state of each host; this host itself counts as live
     */
    public static ImmutableList<String> of(HolderAssignment assignment, Function<String, HostState> stateOf) {
        return assignment.holders().stream()
                .sorted(Comparator.comparing(stateOf))
                .collect(ImmutableList.toImmutableList());
    }
}
