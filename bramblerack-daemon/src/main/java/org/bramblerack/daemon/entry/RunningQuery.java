package org.bramblerack.daemon.entry;

import java.util.List;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.bramblerack.daemon.peer.Workers;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.request.LeafOutcome;
import org.bramblerack.request.LeafRequest;
import org.bramblerack.request.Query;
import org.bramblerack.request.QueryAction;
import org.bramblerack.version.Priority;

/**
 * Executes the actions of one query.
 *
 * <p>Safe for use by many threads: every event holds the query's lock, which follows the admission lock in the lock
 * order. The result is delivered exactly once, without the lock held.
 */
final class RunningQuery {
    private final Query query;
    private final CallerQuery callerQuery;
    private final Priority priority;
    private final LeafRouter router;
    private final Workers workers;
    private final MonotonicClock clock;
    private final HostMetrics metrics;
    private final Consumer<QueryResult> done;
    private final ReentrantLock lock = new ReentrantLock();

    RunningQuery(
            Query query,
            CallerQuery callerQuery,
            Priority priority,
            LeafRouter router,
            Workers workers,
            MonotonicClock clock,
            HostMetrics metrics,
            Consumer<QueryResult> done) {
        this.query = query;
        this.callerQuery = callerQuery;
        this.priority = priority;
        this.router = router;
        this.workers = workers;
        this.clock = clock;
        this.metrics = metrics;
        this.done = done;
    }

    void start() {
        handle(query::start);
    }

    void onCallerGone() {
        handle(query::onCallerGone);
    }

    private void wake() {
        handle(query::wake);
    }

    private void onOutcome(int attempt, LeafOutcome outcome) {
        if (outcome instanceof LeafOutcome.Replied replied) {
            handle(nowNanos -> query.onReply(attempt, replied.reply(), nowNanos));
        } else if (outcome instanceof LeafOutcome.Failed failed) {
            metrics.count(failed.failure());
            handle(nowNanos -> query.onFailure(attempt, failed.failure(), nowNanos));
        }
    }

    private void handle(Event event) {
        lock.lock();
        try {
            for (QueryAction action : event.at(clock.nowNanos())) {
                execute(action);
            }
        } finally {
            lock.unlock();
        }
    }

    private void execute(QueryAction action) {
        if (action instanceof QueryAction.SendLeaf send) {
            send(send);
        } else if (action instanceof QueryAction.CancelLeaf cancel) {
            router.cancel(cancel.callId(), cancel.upstream());
        } else if (action instanceof QueryAction.Wake wake) {
            workers.runAfter(wake.atNanos() - clock.nowNanos(), this::wake);
        } else if (action instanceof QueryAction.Count count) {
            metrics.count(count.counter());
        } else if (action instanceof QueryAction.Deliver deliver) {
            workers.run(() -> done.accept(new QueryResult.Answered(deliver.answer())));
        } else if (action instanceof QueryAction.Refuse refuse) {
            workers.run(() -> done.accept(new QueryResult.Refused(refuse.refusal())));
        }
    }

    private void send(QueryAction.SendLeaf send) {
        LeafRequest request = new LeafRequest(
                send.callId(),
                callerQuery.requestId().value(),
                send.upstream(),
                send.shard(),
                send.indexVersion(),
                priority,
                send.deadlineNanos(),
                "",
                callerQuery.body());
        router.send(request, outcome -> onOutcome(send.attempt(), outcome));
    }

    /** An event of the query, handled under its lock. */
    @FunctionalInterface
    private interface Event {
        List<QueryAction> at(long nowNanos);
    }
}
