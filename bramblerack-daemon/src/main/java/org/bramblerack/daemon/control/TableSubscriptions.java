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
    private static final long HOLD_NANOS = Duration.ofMillis(700).toNanos();

    /** How long a host that has just started waits here for a leader: an election's time; another may hear one. */
    private static final long HOLD_WITHOUT_LEADER_NANOS = Duration.ofMillis(250).toNanos();

    /** The revision that a host knows which has just started. */
    private static final long NOTHING = 0;

    private final List<Waiting> waiting = new ArrayList<>();

    void add(long knownRevision, UniEmitter<? super TableDelta> emitter, long nowNanos) {
        waiting.add(new Waiting(knownRevision, emitter, nowNanos));
    }

    /** Answers those for whom there is news, and those who have waited long enough. */
    void answerDue(ReplicatedTables tables, boolean inTouch, long nowNanos) {
        Iterator<Waiting> each = waiting.iterator();
        while (each.hasNext()) {
            Waiting next = each.next();
            boolean news = next.knownRevision() < tables.revision() && (inTouch || next.knownRevision() > NOTHING);
            boolean idle = !inTouch && next.knownRevision() == NOTHING;
            long holdNanos = idle ? HOLD_WITHOUT_LEADER_NANOS : HOLD_NANOS;
            if (news || nowNanos - next.askedNanos() >= holdNanos) {
                each.remove();
                next.emitter().complete(answer(next.knownRevision(), tables, inTouch));
            }
        }
    }

    private static TableDelta answer(long knownRevision, ReplicatedTables tables, boolean inTouch) {
        if (!inTouch && knownRevision == NOTHING) {
            return TableDelta.getDefaultInstance();
        }
        boolean behind = knownRevision > tables.revision();
        return tables.changesSince(Math.min(knownRevision, tables.revision()))
                .setCurrent(inTouch && !behind)
                .build();
    }

    /** Answers everybody with nothing, as a role does that stops. */
    void answerAll() {
        waiting.forEach(each -> each.emitter().complete(TableDelta.getDefaultInstance()));
        waiting.clear();
    }

    private record Waiting(long knownRevision, UniEmitter<? super TableDelta> emitter, long askedNanos) {}
}
