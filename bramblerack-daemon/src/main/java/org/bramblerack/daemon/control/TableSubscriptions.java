package org.bramblerack.daemon.control;

import io.smallrye.mutiny.subscription.UniEmitter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.bramblerack.process.members.ReplicatedTables;
import org.bramblerack.wire.TableDelta;

/**
 * The hosts that wait for changes of the agreed tables.
 *
 * <p>Each is answered as soon as there is a change that it does not know, and after a moment even without one, so that
 * it can tell a quiet control host from a dead one. A host that knows nothing yet can do nothing with tables that may
 * be old, so it is answered once this host hears a leader: after a start of the whole fleet every host asks, and whole
 * tables for each of them, again and again, would keep the control hosts from electing. Not safe for use by several
 * threads.
 */
final class TableSubscriptions {
    /** How long a request without news is held back: well within the time in which a change must be in force. */
    private static final long MAX_WAIT_NANOS = Duration.ofMillis(700).toNanos();

    /** How long a host that has just started waits here for a leader: an election's time; another may hear one. */
    private static final long MAX_WAIT_WITHOUT_LEADER_NANOS =
            Duration.ofMillis(250).toNanos();

    /** The revision that a host knows which has just started. */
    private static final long NO_REVISION = 0;

    private final List<PendingPull> pendingPulls = new ArrayList<>();

    void add(long knownRevision, UniEmitter<? super TableDelta> emitter, long nowNanos) {
        pendingPulls.add(new PendingPull(knownRevision, emitter, nowNanos));
    }

    /** Answers those for whom there is news, and those who have waited long enough. */
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

    /** Answers everybody with nothing, as a role does that stops. */
    void completeAll() {
        pendingPulls.forEach(each -> each.emitter().complete(TableDelta.getDefaultInstance()));
        pendingPulls.clear();
    }

    private record PendingPull(long knownRevision, UniEmitter<? super TableDelta> emitter, long receivedNanos) {}
}
