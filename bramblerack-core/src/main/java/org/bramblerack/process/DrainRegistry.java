package org.bramblerack.process;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.bramblerack.version.UpstreamName;

/**
 * Which holders say of which upstreams that they are leaving.
 *
 * <p>The first holder to say so is believed; an upstream takes new work again when all holders that said so took it
 * back. Safe for use by many threads; nothing is called under its lock.
 */
public final class DrainRegistry {
    private final Map<UpstreamName, Set<String>> drainingHolders = new HashMap<>();

    /**
     * Records what a holder says.
     *
     * @return true if the upstream is leaving according to any holder
     */
    public synchronized boolean record(String holder, UpstreamName upstream, boolean draining) {
        Set<String> holders = drainingHolders.computeIfAbsent(upstream, unused -> new HashSet<>());
        if (draining) {
            holders.add(holder);
        } else {
            holders.remove(holder);
        }
        boolean any = !holders.isEmpty();
        if (!any) {
            drainingHolders.remove(upstream);
        }
        return any;
    }
}
