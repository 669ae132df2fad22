package org.bramblerack.daemon.entry;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.bramblerack.request.Admission;
import org.bramblerack.version.RequestClass;
import org.jspecify.annotations.Nullable;

/**
 * A query between its arrival and its end.
 *
 * <p>Invariant: it ends once, be it by a result or because its caller went away. Safe for use by many threads.
 */
final class QueryCall {
    private final CallerQuery asked;
    private final RequestClass requestClass;
    private final Admission.Ticket ticket;
    private final long askedNanos;
    private final Consumer<QueryResult> done;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile @Nullable RunningQuery running;
    private volatile long begunNanos;

    QueryCall(
            CallerQuery asked,
            RequestClass requestClass,
            Admission.Ticket ticket,
            long askedNanos,
            Consumer<QueryResult> done) {
        this.asked = asked;
        this.requestClass = requestClass;
        this.ticket = ticket;
        this.askedNanos = askedNanos;
        this.done = done;
    }

    CallerQuery asked() {
        return asked;
    }

    RequestClass requestClass() {
        return requestClass;
    }

    Admission.Ticket ticket() {
        return ticket;
    }

    long askedNanos() {
        return askedNanos;
    }

    void deliver(QueryResult result) {
        done.accept(result);
    }

    /** Returns true to the first who ends the query. */
    boolean end() {
        return ended.compareAndSet(false, true);
    }

    void admitted(long nowNanos) {
        begunNanos = nowNanos;
    }

    long begunNanos() {
        return begunNanos;
    }

    void begun(RunningQuery query) {
        running = query;
    }

    boolean isAdmitted() {
        return running != null;
    }

    /** Stops the work for the query, if it has begun. */
    void cancel() {
        RunningQuery query = running;
        if (query != null) {
            query.callerGone();
        }
    }
}
