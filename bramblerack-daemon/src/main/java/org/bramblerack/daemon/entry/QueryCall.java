package org.bramblerack.daemon.entry;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.bramblerack.request.Admission;
import org.bramblerack.version.RequestClass;
import org.jspecify.annotations.Nullable;

/**
 * A query from its arrival to its end.
 *
 * <p>Invariant: it ends once, by a result or because its caller disconnected. Safe for use by many threads.
 */
final class QueryCall {
    private final CallerQuery query;
    private final RequestClass requestClass;
    private final Admission.Ticket ticket;
    private final long receivedNanos;
    private final Consumer<QueryResult> done;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile @Nullable RunningQuery running;
    private volatile long admittedNanos;

    QueryCall(
            CallerQuery query,
            RequestClass requestClass,
            Admission.Ticket ticket,
            long receivedNanos,
            Consumer<QueryResult> done) {
        this.query = query;
        this.requestClass = requestClass;
        this.ticket = ticket;
        this.receivedNanos = receivedNanos;
        this.done = done;
    }

    CallerQuery query() {
        return query;
    }

    RequestClass requestClass() {
        return requestClass;
    }

    Admission.Ticket ticket() {
        return ticket;
    }

    long receivedNanos() {
        return receivedNanos;
    }

    void deliver(QueryResult result) {
        done.accept(result);
    }

    /** Ends the query; returns true for the first call only. */
    boolean tryEnd() {
        return ended.compareAndSet(false, true);
    }

    void onAdmitted(long nowNanos) {
        admittedNanos = nowNanos;
    }

    long admittedNanos() {
        return admittedNanos;
    }

    void onStarted(RunningQuery query) {
        running = query;
    }

    boolean isStarted() {
        return running != null;
    }

    /** Cancels the query if it has started. */
    void cancel() {
        RunningQuery query = running;
        if (query != null) {
            query.onCallerGone();
        }
    }
}
