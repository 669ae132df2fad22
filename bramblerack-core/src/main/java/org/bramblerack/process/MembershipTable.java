package org.bramblerack.process;

import com.google.common.collect.ImmutableSortedMap;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The last heartbeat of each other host, and when it arrived.
 *
 * <p>Invariant: a heartbeat of an earlier incarnation of a host never replaces one of a later incarnation. This view is
 * used only to prefer hosts that respond; no safety property depends on it. Safe for use by many threads.
 */
public final class MembershipTable {
    /** How long a host counts as live after its last heartbeat. */
    public static final Duration LIVENESS_TIMEOUT = Duration.ofSeconds(2);

    private final Map<String, LastContact> contacts = new ConcurrentHashMap<>();

    /**
     * Records a heartbeat.
     *
     * @param incarnation increases with every start of the host
     * @param leaving true if the host reports that it is leaving
     * @param revision the revision of the configuration that the host has in force
     */
    public void record(String host, long incarnation, boolean leaving, long revision, long nowNanos) {
        contacts.merge(
                host,
                new LastContact(incarnation, leaving, revision, nowNanos),
                (known, latest) -> latest.incarnation() < known.incarnation() ? known : latest);
    }

    /** Returns the current state of a host. */
    public HostState state(String host, long nowNanos) {
        LastContact known = contacts.get(host);
        if (known == null || nowNanos - known.atNanos() > LIVENESS_TIMEOUT.toNanos()) {
            return HostState.SILENT;
        }
        return known.leaving() ? HostState.LEAVING : HostState.LIVE;
    }

    /** Returns the revision that each host last reported to have in force. */
    public ImmutableSortedMap<String, Long> revisions() {
        ImmutableSortedMap.Builder<String, Long> revisions = ImmutableSortedMap.naturalOrder();
        contacts.forEach((host, known) -> revisions.put(host, known.revision()));
        return revisions.build();
    }

    private record LastContact(long incarnation, boolean leaving, long revision, long atNanos) {}
}
