package org.bramblerack.daemon.control;

import io.smallrye.mutiny.subscription.UniEmitter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.bramblerack.process.members.AgreedTables;
import org.bramblerack.wire.TableDelta;

/**
 * The hosts that wait for changes of the agreed tables.
 *
 * <p>Each is answered as soon as there is a change that it does not know, and after a moment even without one, so that
 * it can tell a quiet control host from a dead one. Not safe for use by several threads.
 */
final class TableSubscriptions {
    /** How long a request without news is held back: well within the time in which a change must be in force. */
    private static final long HOLD_NANOS = Duration.ofMillis(700).toNanos();

    private final List<Waiting> waiting = new ArrayList<>();

    void add(long knownRevision, UniEmitter<? super TableDelta> emitter, long nowNanos) {
        waiting.add(new Waiting(knownRevision, emitter, nowNanos + HOLD_NANOS));
    }

    /** Answers those for whom there is news, and those who have waited long enough. */
    void answerDue(AgreedTables tables, boolean inTouch, long nowNanos) {
        Iterator<Waiting> each = waiting.iterator();
        while (each.hasNext()) {
            Waiting next = each.next();
            boolean news = next.knownRevision() < tables.revision();
            if (news || nowNanos - next.dueNanos() >= 0) {
                each.remove();
                TableDelta.Builder delta = tables.changesSince(Math.min(next.knownRevision(), tables.revision()));
                boolean behind = next.knownRevision() > tables.revision();
                next.emitter().complete(delta.setCurrent(inTouch && !behind).build());
            }
        }
    }

    /** Answers everybody with nothing, as a role does that stops. */
    void answerAll() {
        waiting.forEach(each -> each.emitter().complete(TableDelta.getDefaultInstance()));
        waiting.clear();
    }

    private record Waiting(long knownRevision, UniEmitter<? super TableDelta> emitter, long dueNanos) {}
}
