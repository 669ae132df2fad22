package org.bramblerack.process;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.bramblerack.version.UpstreamName;

/**
 * Records which holders report an upstream as leaving.
 *
 * <p>An upstream is leaving while at least one holder reports it as such. Safe for use by many threads; nothing is
 * called under its lock.
 */
public final class DrainRegistry {
    private final Map<UpstreamName, Set<String>> drainingHolders = new HashMap<>();

    /**
     * Records the latest report of a holder about an upstream.
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
