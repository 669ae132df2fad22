package org.bramblerack.daemon.entry;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.bramblerack.daemon.peer.Workers;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.StopAdmission;
import org.bramblerack.process.directory.ServiceDirectory;
import org.bramblerack.process.directory.ServiceView;
import org.bramblerack.request.Admission;
import org.bramblerack.request.Query;
import org.bramblerack.request.QuerySpec;
import org.bramblerack.request.Refusal;
import org.bramblerack.request.RefusalKind;
import org.bramblerack.version.RequestClass;
import org.bramblerack.version.ShardMap;

/**
 * Admits and runs the queries of callers.
 *
 * <p>Safe for use by many threads: the admission lock is the first in the lock order and is never held while a query
 * runs.
 */
public final class QueryRunner {
    private static final long MAX_FINALIZE_MARGIN_NANOS = Duration.ofMillis(3).toNanos();
    private static final int FINALIZE_MARGIN_DIVISOR = 20;

    private final ServiceDirectory directory;
    private final LeafRouter router;
    private final Workers workers;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final HostMetrics metrics;
    private final RequestIds ids;
    private final StopAdmission stopAdmission;
    private final Admission admission;
    private final ReentrantLock admissionLock = new ReentrantLock();
    private final Map<String, QueryCall> calls = new ConcurrentHashMap<>();

    /** Creates a runner with a maximum number of queries in flight. */
    public QueryRunner(
            ServiceDirectory directory,
            LeafRouter router,
            Workers workers,
            MonotonicClock clock,
            RandomGenerator random,
            HostMetrics metrics,
            RequestIds ids,
            StopAdmission stopAdmission,
            int maxQueries) {
        this.directory = directory;
        this.router = router;
        this.workers = workers;
        this.clock = clock;
        this.random = random;
        this.metrics = metrics;
        this.ids = ids;
        this.stopAdmission = stopAdmission;
        this.admission = new Admission(maxQueries);
    }

    /** A submitted query. */
    public interface Handle {
        /** Cancels the query because its caller disconnected. */
        void callerGone();
    }

    /**
     * Runs a query.
     *
     * @param done gets the result, once
     */
    public Handle run(CallerQuery callerQuery, Consumer<QueryResult> done) {
        Optional<ServiceView> view = directory.find(callerQuery.service());
        if (view.isEmpty()) {
            refuse(done, Refusal.of(RefusalKind.UNKNOWN_SERVICE, unknownServiceMessage(callerQuery)));
            return () -> {};
        }
        RequestClass requestClass = view.get().service().classes().get(callerQuery.requestClass());
        if (requestClass == null) {
            String message = "the service has no class " + callerQuery.requestClass() + "; use one of "
                    + view.get().service().classes().keySet();
            refuse(done, Refusal.of(RefusalKind.UNKNOWN_CLASS, message));
            return () -> {};
        }
        Duration timeout = callerQuery
                .deadline()
                .filter(deadline -> deadline.compareTo(requestClass.deadline()) < 0)
                .orElse(requestClass.deadline());
        long nowNanos = clock.nowNanos();
        long marginNanos = Math.min(MAX_FINALIZE_MARGIN_NANOS, timeout.toNanos() / FINALIZE_MARGIN_DIVISOR);
        long finalizeNanos = nowNanos + timeout.toNanos() - marginNanos;
        if (!stopAdmission.mayAccept(kindOf(callerQuery), Duration.ZERO, finalizeNanos)) {
            refuse(done, Refusals.STOPPING);
            return () -> {};
        }
        Admission.Ticket ticket =
                new Admission.Ticket(ids.next(), callerQuery.service(), requestClass.priority(), finalizeNanos);
        QueryCall call = new QueryCall(callerQuery, requestClass, ticket, nowNanos, done);
        calls.put(ticket.id(), call);
        updateAdmission(() -> admission.offer(ticket, clock.nowNanos()));
        workers.runAfter(finalizeNanos - nowNanos, () -> updateAdmission(() -> admission.expire(clock.nowNanos())));
        return () -> workers.run(() -> onCallerGone(call));
    }

    /** Returns the number of queries that are queued or in flight. */
    public int inFlight() {
        admissionLock.lock();
        try {
            return admission.inFlight() + admission.waiting();
        } finally {
            admissionLock.unlock();
        }
    }

    private void updateAdmission(Supplier<List<Admission.Decision>> event) {
        List<Admission.Decision> decisions;
        admissionLock.lock();
        try {
            decisions = event.get();
        } finally {
            admissionLock.unlock();
        }
        for (Admission.Decision decision : decisions) {
            if (decision instanceof Admission.Decision.Admit admit) {
                start(admit.ticket());
            } else if (decision instanceof Admission.Decision.Refuse refused) {
                refuseOverloaded(refused);
            }
        }
    }

    private void start(Admission.Ticket ticket) {
        QueryCall call = calls.remove(ticket.id());
        if (call == null) {
            release(ticket, 0);
            return;
        }
        call.onAdmitted(clock.nowNanos());
        Optional<ServiceView> view = directory.find(call.query().service());
        Optional<ShardMap> pinned =
                view.flatMap(serviceView -> serviceView.tables().versions().newest());
        if (view.isEmpty() || pinned.isEmpty()) {
            String message = "no index version of " + call.query().service() + " is known yet; send the query again";
            end(call, new QueryResult.Refused(Refusal.of(RefusalKind.NOT_READY, message)));
            return;
        }
        QuerySpec spec = new QuerySpec(
                ticket.id(), call.query().service(), call.requestClass().preference(), ticket.deadlineNanos());
        Query query = new Query(spec, pinned.get(), view.get().tables(), random);
        RunningQuery running = new RunningQuery(
                query,
                call.query(),
                call.requestClass().priority(),
                router,
                workers,
                clock,
                metrics,
                result -> end(call, result));
        call.onStarted(running);
        running.start();
    }

    private void end(QueryCall call, QueryResult result) {
        if (call.tryEnd()) {
            long tookNanos = clock.nowNanos() - call.receivedNanos();
            stopAdmission.recordDuration(kindOf(call.query()), tookNanos);
            metrics.timer("query.time").update(tookNanos, TimeUnit.NANOSECONDS);
            deliver(call::deliver, result);
            release(call.ticket(), clock.nowNanos() - call.admittedNanos());
        }
    }

    private void onCallerGone(QueryCall call) {
        call.cancel();
        if (call.isStarted() && call.tryEnd()) {
            metrics.count("query.caller-gone");
            release(call.ticket(), clock.nowNanos() - call.admittedNanos());
        }
    }

    private static String kindOf(CallerQuery query) {
        return "query " + query.service() + " " + query.requestClass();
    }

    private void release(Admission.Ticket ticket, long tookNanos) {
        updateAdmission(() -> admission.onFinished(ticket, tookNanos, clock.nowNanos()));
    }

    private void refuseOverloaded(Admission.Decision.Refuse refused) {
        QueryCall call = calls.remove(refused.ticket().id());
        if (call != null && call.tryEnd()) {
            String message = "the host has no room for the query within its deadline; send it again later";
            refuse(call::deliver, Refusal.retryAfter(RefusalKind.OVERLOADED, message, refused.retryAfter()));
        }
    }

    private void refuse(Consumer<QueryResult> done, Refusal refusal) {
        deliver(done, new QueryResult.Refused(refusal));
    }

    private void deliver(Consumer<QueryResult> done, QueryResult result) {
        if (result instanceof QueryResult.Refused refused) {
            metrics.count(refused.refusal().kind());
        }
        done.accept(result);
    }

    private String unknownServiceMessage(CallerQuery query) {
        return "the service " + query.service() + " is not declared in revision "
                + directory.configuration().revision() + "; check its name or apply its declaration";
    }
}
