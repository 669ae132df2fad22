package org.bramblerack.request.routed;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Chooses which of a shard's candidate hosts is called: its holder or a backup.
 *
 * <p>Guards against a holder that is down, frozen or lagging for seconds. A host that detects this skips the holder and
 * reports the skipped hosts to the backup, which would otherwise call the same holder again. A call is forwarded only
 * once, so that at most two hosts handle a shard.
 *
 * <p>Stateless and safe for use by many threads.
 */
public final class HolderChoice {
    private HolderChoice() {}

    /** The state of the candidate hosts as this host knows it. */
    public interface HostView {
        boolean isSelf(String host);

        /** Returns true if a host is available, as far as this host knows. */
        boolean isUsable(String host);

        /** Returns true if a host recently reported that it is lagging. */
        boolean isLagging(String host);
    }

    /**
     * Returns the first candidate that is available and not lagging, or the first available one if all of those lag.
     * Empty if this host is to call the leaf itself, because it is chosen itself or no candidate is available.
     *
     * @param candidates the candidate hosts of the shard in order of preference
     * @param skipped the candidates that the calling host skipped; ignored if this host is no candidate, since it then
     *     has no connection to the leaf
     */
    public static Optional<String> choose(List<String> candidates, Collection<String> skipped, HostView view) {
        // Avoids streams: this runs for each shard of a query.
        boolean selfNamed = isSelfAmong(candidates, view);
        Optional<String> lagging = Optional.empty();
        for (String host : candidates) {
            if (view.isSelf(host)) {
                return Optional.empty();
            }
            boolean usable = view.isUsable(host) && !(selfNamed && skipped.contains(host));
            if (usable && !view.isLagging(host)) {
                return Optional.of(host);
            }
            if (usable && lagging.isEmpty()) {
                lagging = Optional.of(host);
            }
        }
        return lagging;
    }

    private static boolean isSelfAmong(List<String> candidates, HostView view) {
        for (String host : candidates) {
            if (view.isSelf(host)) {
                return true;
            }
        }
        return false;
    }
}
