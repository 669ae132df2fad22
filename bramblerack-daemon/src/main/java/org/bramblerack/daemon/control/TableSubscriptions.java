package org.bramblerack.daemon.control;

import io.smallrye.mutiny.subscription.UniEmitter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.bramblerack.process.members.ReplicatedTables;
import org.bramblerack.wire.TableDelta;

/**
 * The pulls of hosts that wait for changes of the replicated tables.
 *
 * <p>A pull is completed as soon as there is a change that its host does not have. Without a change it is completed
 * after a bounded wait, so that the host can distinguish an idle control host from a failed one. A host that has just
 * started has no tables yet and cannot use outdated ones, so its pull waits until this host has contact with a leader.
 * Otherwise, after a start of the whole fleet, sending full tables to every host repeatedly would delay the election.
 * Not safe for use by several threads.
 */
final class TableSubscriptions {
    /**
     * The longest wait of a pull without changes, well within the time in which a change must be in force everywhere.
     */
    private static final long MAX_WAIT_NANOS = Duration.ofMillis(700).toNanos();

    /**
     * The longest wait of a host without tables for a leader, about one election; it then tries another control host.
     */
    private static final long MAX_WAIT_WITHOUT_LEADER_NANOS =
            Duration.ofMillis(250).toNanos();

    /** The known revision of a host that has just started. */
    private static final long NO_REVISION = 0;

    private final List<PendingPull> pendingPulls = new ArrayList<>();

    void add(long knownRevision, UniEmitter<? super TableDelta> emitter, long nowNanos) {
        pendingPulls.add(new PendingPull(knownRevision, emitter, nowNanos));
    }

    /** Completes the pulls for which there are changes, and those that have waited long enough. */
    void completeDue(ReplicatedTables tables, boolean upToDate, long nowNanos) {
        Iterator<PendingPull> pulls = pendingPulls.iterator();
        while (pulls.hasNext()) {
            PendingPull pull = pulls.next();
            boolean hasChanges =
                    pull.knownRevision() < tables.revision() && (upToDate || pull.knownRevision() > NO_REVISION);
            boolean awaitsLeader = !upToDate && pull.knownRevision() == NO_REVISION;
            long maxWaitNanos = awaitsLeader ? MAX_WAIT_WITHOUT_LEADER_NANOS : MAX_WAIT_NANOS;
            if (hasChanges || nowNanos - pull.receivedNanos() >= maxWaitNanos) {
                pulls.remove();
                pull.emitter().complete(toDelta(pull.knownRevision(), tables, upToDate));
            }
        }
    }

    private static TableDelta toDelta(long knownRevision, ReplicatedTables tables, boolean upToDate) {
        if (!upToDate && knownRevision == NO_REVISION) {
            return TableDelta.getDefaultInstance();
        }
        boolean lagging = knownRevision > tables.revision();
        return tables.changesSince(Math.min(knownRevision, tables.revision()))
                .setCurrent(upToDate && !lagging)
                .build();
    }

    /** Completes all pulls without changes, because the role stops. */
    void completeAll() {
        pendingPulls.forEach(pull -> pull.emitter().complete(TableDelta.getDefaultInstance()));
        pendingPulls.clear();
    }

    private record PendingPull(long knownRevision, UniEmitter<? super TableDelta> emitter, long receivedNanos) {}
}
