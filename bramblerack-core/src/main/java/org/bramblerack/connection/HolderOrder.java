package org.bramblerack.connection;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.function.Function;
import org.bramblerack.process.HostState;

/**
 * Decides through which holder a call goes: the preferred one, so that an upstream has one queue, unless it is silent.
 *
 * <p>Stateless and safe for use by many threads.
 */
public final class HolderOrder {
    private HolderOrder() {}

    /**
     * Returns the holders in the order in which to try them; a silent one is tried last, as the view may be wrong.
     *
     * @param stateOf what is known of each host; this host itself counts as live
     */
    public static ImmutableList<String> of(HolderAssignment assignment, Function<String, HostState> stateOf) {
        return assignment.holders().stream()
                .sorted(Comparator.comparing(stateOf))
                .collect(ImmutableList.toImmutableList());
    }
}
