package org.bramblerack.request.routed;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Decides which of the hosts named for a shard is asked for it: its holder or one that stands in.
 *
 * <p>The load that it answers: a holder that is dead, frozen or far behind for seconds. The host that learns of it
 * first passes it over, and says so to the one that stands in: otherwise that one, which knows nothing yet, would leave
 * the shards to the same holder again. Nobody asks the shards of more than two hosts, since a call is passed on once.
 *
 * <p>Stateless and safe for use by many threads.
 */
public final class HolderChoice {
    private HolderChoice() {}

    /** What this host knows of the hosts that are named for a shard. */
    public interface HostView {
        /** Returns true for this host. */
        boolean isSelf(String host);

        /** Returns true if a host can be asked, as far as this one knows. */
        boolean isUsable(String host);

        /** Returns true if a host said of late that it is behind with its work. */
        boolean isLagging(String host);
    }

    /**
     * Returns the first named host that can be asked and is not behind; if all of those are behind, the first that can
     * be asked. Empty if this host is to ask the leaf itself: it is the one that is chosen, or there is none.
     *
     * @param named the hosts that are named for the shard, the preferred first
     * @param passedOver those that whoever asks this host passed over, which counts only if this host is named as well:
     *     another has no way of its own to the leaf
     */
    public static Optional<String> choose(List<String> named, Collection<String> passedOver, HostView known) {
        // Plain loops: this is decided for each shard of a query.
        boolean standsIn = isSelfAmong(named, known);
        Optional<String> behind = Optional.empty();
        for (String host : named) {
            if (known.isSelf(host)) {
                return Optional.empty();
            }
            boolean usable = known.isUsable(host) && !(standsIn && passedOver.contains(host));
            if (usable && !known.isLagging(host)) {
                return Optional.of(host);
            }
            if (usable && behind.isEmpty()) {
                behind = Optional.of(host);
            }
        }
        return behind;
    }

    private static boolean isSelfAmong(List<String> named, HostView known) {
        for (String host : named) {
            if (known.isSelf(host)) {
                return true;
            }
        }
        return false;
    }
}
